//! Requests that go from one daemon to another.
//!
//! A leaving daemon first sends copies, then, when its time is up, the requests
//! themselves, spread over the live daemons of its data centre by rendezvous
//! hashing on the request id. A caller who comes back is passed on to the daemon
//! that holds the request; daemons of the data centre named in the id are asked.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use peer::{Member, State};
use schema::journal as wire;
use schema::journal::{Handover, Holding, Locate, Located, Taken};
use schema::member::{Fact, Moved};
use tokio::time::Instant;

use crate::context::Context;
use crate::drive::Job;
use crate::journal::{End, Journal};

/// method that hands requests over
const TAKE: &str = "handover_take";
/// method that asks for the place of a request
const LOCATE: &str = "handover_locate";
/// longest wait for a daemon to take requests
const TAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// longest wait for a daemon to say what it holds
const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);
/// most bytes of prompts and tokens in one call
const CALL_BYTES: usize = 256 * 1024;
/// most daemons of a data centre, or of others, that are asked for a request
const MOST_ASKED: usize = 8;
/// error code of a call that came too early
const NOT_READY: i32 = -32_001;

/// the context, once it stands; the methods are registered before
pub type Slot = Arc<OnceLock<Arc<Context>>>;

/// a daemon that holds a request
#[derive(Debug, Clone)]
pub struct Place {
    /// the daemon
    pub member: Member,
    /// what it holds
    pub holding: Holding,
}

/// the methods by which other daemons hand requests over
///
/// # Panics
/// Never: the names are distinct.
pub fn methods(slot: &Slot) -> RpcModule<Slot> {
    let mut module = RpcModule::new(Arc::clone(slot));
    let take = module.register_method(TAKE, |params, slot, _| {
        let handover: Handover = params.one()?;
        ready(slot).map(|context| take(&context, handover))
    });
    take.expect("the name stands once");
    let locate = module.register_method(LOCATE, |params, slot, _| {
        let locate: Locate = params.one()?;
        ready(slot).map(|context| Located {
            holding: holding(&context, &locate.id),
        })
    });
    locate.expect("the name stands once");
    module
}

fn ready(slot: &Slot) -> Result<Arc<Context>, ErrorObjectOwned> {
    let early = || ErrorObject::owned(NOT_READY, "The daemon is starting.", None::<()>);
    slot.get().cloned().ok_or_else(early)
}

fn holding(context: &Context, id: &str) -> Holding {
    match context.journals.get(id).map(|journal| journal.ended()) {
        Some(Some(End::Moved)) | None => (),
        Some(_) => return Holding::Request,
    }
    match context.standby.has(id) {
        true => Holding::Copy,
        false => Holding::Nothing,
    }
}

fn take(context: &Context, handover: Handover) -> Taken {
    let now = Instant::now();
    let mut count = 0;
    for journal in handover.journals {
        if handover.copy {
            context.standby.put(journal, now);
            count += 1;
            continue;
        }
        if adopt(context, &journal, now) {
            count += 1;
        }
    }
    Taken { count }
}

/// takes a request up; false when all drivers are busy
fn adopt(context: &Context, wire: &wire::Journal, now: Instant) -> bool {
    let copy = context.standby.take(&wire.id, now);
    let journal = Arc::new(Journal::resume(wire, now));
    context.journals.insert(&journal);
    context
        .metrics
        .handovers
        .with_label_values(&["taken"])
        .inc();
    let origin = &journal.origin;
    let note = format!("tokens={}", journal.count());
    context.spans.add(origin.hop(), "hand_over", now, &note);
    if journal.ended().is_some() {
        return true;
    }
    let job = Job {
        journal,
        pick: None,
        permit: None,
    };
    if context.submit(job).is_ok() {
        return true;
    }
    context.journals.remove(&wire.id);
    if let Some(copy) = copy {
        context.standby.put(copy, now);
    }
    false
}

/// finds the daemon that holds a request
pub fn locate(context: &Context, id: &str) -> Option<Place> {
    let mut best: Option<Place> = None;
    for member in candidates(context, id) {
        let params = Locate { id: id.to_owned() };
        let answer: Result<Located, _> =
            context
                .node
                .call_blocking(&member, LOCATE, &params, LOCATE_TIMEOUT);
        let holding = match answer {
            Ok(located) => located.holding,
            Err(_) => Holding::Nothing,
        };
        match holding {
            Holding::Request => return Some(Place { member, holding }),
            Holding::Copy if best.is_none() => best = Some(Place { member, holding }),
            Holding::Copy | Holding::Nothing => (),
        }
    }
    best
}

/// daemons that may hold a request, likeliest first: the one it is said to have
/// moved to, those of its data centre, those of their region
fn candidates(context: &Context, id: &str) -> Vec<Member> {
    let data_centre = id
        .split_once('.')
        .map_or("", |(data_centre, _)| data_centre);
    let me = context.node.me().instance;
    let members = context.node.members();
    let others = members.iter().filter(|member| member.instance != me);
    let (mut near, mut far): (Vec<&Member>, Vec<&Member>) =
        others.partition(|member| member.data_centre == data_centre);
    near.sort_by_key(|member| std::cmp::Reverse(weight(id, member)));
    far.sort_by_key(|member| std::cmp::Reverse(weight(id, member)));
    near.truncate(MOST_ASKED);
    far.truncate(MOST_ASKED);
    let moved = context
        .node
        .handover_target(id)
        .filter(|member| member.instance != me);
    let mut all: Vec<Member> = moved.into_iter().collect();
    all.extend(near.into_iter().chain(far).cloned());
    all
}

/// daemons that may take requests over: of this data centre, else of this region
fn successors(context: &Context) -> Vec<Member> {
    let me = context.node.me();
    let mut near = context.node.data_centre_members();
    near.retain(|member| member.instance != me.instance);
    if !near.is_empty() {
        return near;
    }
    let members = context.node.members();
    let far = members.iter().filter(|member| {
        member.instance != me.instance && member.region == me.region && member.state == State::Live
    });
    far.cloned().collect()
}

fn weight(id: &str, member: &Member) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), member.instance)
}

fn successor<'a>(members: &'a [Member], id: &str) -> Option<&'a Member> {
    members.iter().max_by_key(|member| weight(id, member))
}

/// sends copies of requests ahead; returns those that were not taken
pub fn copy(context: &Context, journals: &[Arc<Journal>]) -> Vec<Arc<Journal>> {
    send(context, journals, true)
}

/// hands requests over for good; those that no daemon takes go on here
pub fn hand_over(context: &Context, journals: &[Arc<Journal>]) -> Vec<Arc<Journal>> {
    let held: Vec<Arc<Journal>> = journals.iter().filter(|j| j.hold()).cloned().collect();
    let kept = send(context, &held, false);
    let now = Instant::now();
    for journal in &held {
        if kept.iter().any(|kept| Arc::ptr_eq(kept, journal)) {
            let job = Job {
                journal: Arc::clone(journal),
                pick: None,
                permit: None,
            };
            if context.submit(job).is_err() {
                tracing::warn!(event = "hand_over_lost", request = journal.origin.id);
            }
            continue;
        }
        journal.end(End::Moved, now);
        context
            .metrics
            .handovers
            .with_label_values(&["given"])
            .inc();
    }
    kept
}

fn send(context: &Context, journals: &[Arc<Journal>], copy: bool) -> Vec<Arc<Journal>> {
    let mut members = successors(context);
    let mut left = journals.to_vec();
    while !left.is_empty() && !members.is_empty() {
        let mut failed = Vec::new();
        let mut broken = Vec::new();
        for member in &members {
            let (mine, others): (Vec<_>, Vec<_>) = left.into_iter().partition(|journal| {
                successor(&members, &journal.origin.id)
                    .is_some_and(|s| s.instance == member.instance)
            });
            left = others;
            let refused = send_to(context, member, &mine, copy);
            if !refused.is_empty() {
                broken.push(member.instance);
                failed.extend(refused);
            }
        }
        left = failed;
        members.retain(|member| !broken.contains(&member.instance));
    }
    left
}

/// sends to one daemon in calls of bounded size; returns what it did not take
fn send_to(
    context: &Context,
    member: &Member,
    journals: &[Arc<Journal>],
    copy: bool,
) -> Vec<Arc<Journal>> {
    let mut refused = Vec::new();
    for batch in batches(journals) {
        let now = Instant::now();
        let wires = batch.iter().map(|journal| journal.export(now)).collect();
        let params = Handover {
            journals: wires,
            copy,
        };
        let answer: Result<Taken, _> =
            context
                .node
                .call_blocking(member, TAKE, &params, TAKE_TIMEOUT);
        let taken = answer.map_or(0, |taken| taken.count as usize);
        let event = if copy { "copied" } else { "handed_over" };
        tracing::info!(event, to = member.vm, requests = batch.len(), taken);
        if taken < batch.len() {
            refused.extend_from_slice(batch);
        } else if !copy {
            tell(context, member, batch);
        }
    }
    refused
}

/// tells where requests are, if that is not in the data centre that their ids name
fn tell(context: &Context, member: &Member, journals: &[Arc<Journal>]) {
    if member.data_centre == context.node.me().data_centre {
        return;
    }
    for journal in journals {
        let request = journal.origin.id.clone();
        context.node.publish(Fact::Moved(Moved {
            request,
            to: member.instance,
        }));
    }
}

fn batches(journals: &[Arc<Journal>]) -> Vec<&[Arc<Journal>]> {
    let mut batches = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (at, journal) in journals.iter().enumerate() {
        let size = journal.origin.prompt.len() + 16 * journal.count() as usize;
        if at > start && bytes + size > CALL_BYTES {
            batches.push(&journals[start..at]);
            start = at;
            bytes = 0;
        }
        bytes += size;
    }
    if start < journals.len() {
        batches.push(&journals[start..]);
    }
    batches
}
