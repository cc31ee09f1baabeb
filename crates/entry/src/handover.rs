//! Hand-over of requests in flight from one daemon to another.
//!
//! A draining daemon first sends copies, then, when its time is up, the requests
//! themselves. Rendezvous hashing on the request id spreads them over the live daemons of its
//! data centre, or of its region if there are none. A daemon that is asked for a request it
//! does not have asks its peers, those of the data centre in the request id first, and
//! forwards the caller to the one that has it.

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
/// method that asks a daemon whether it has a request
const LOCATE: &str = "handover_locate";
/// time-out of a call that hands requests over
const TAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// time-out of a call that asks for a request
const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);
/// most bytes of prompts and tokens in one call
const MAX_CALL_BYTES: usize = 256 * 1024;
/// most daemons asked for a request, counted apart for the data centre of its id and all others
const MAX_CANDIDATES: usize = 8;
/// JSON-RPC error code while the daemon is starting
const NOT_READY: i32 = -32_001;

/// the context, set once it is built; the RPC methods are registered before that
pub type Slot = Arc<OnceLock<Arc<Context>>>;

/// a daemon that has a request or a copy of it
#[derive(Debug, Clone)]
pub struct Holder {
    /// the daemon
    pub member: Member,
    /// whether it has the request or a copy
    pub holding: Holding,
}

/// RPC methods that other daemons call to hand requests over and to find them
///
/// # Panics
/// Never: the method names are distinct.
pub fn methods(slot: &Slot) -> RpcModule<Slot> {
    let mut module = RpcModule::new(Arc::clone(slot));
    let take = module.register_method(TAKE, |params, slot, _| {
        let handover: Handover = params.one()?;
        ready(slot).map(|context| accept(&context, handover))
    });
    take.expect("method names are distinct");
    let locate = module.register_method(LOCATE, |params, slot, _| {
        let locate: Locate = params.one()?;
        ready(slot).map(|context| Located {
            holding: holding(&context, &locate.id),
        })
    });
    locate.expect("method names are distinct");
    module
}

pub(crate) fn ready(slot: &Slot) -> Result<Arc<Context>, ErrorObjectOwned> {
    let not_ready = || ErrorObject::owned(NOT_READY, "The daemon is starting.", None::<()>);
    slot.get().cloned().ok_or_else(not_ready)
}

fn holding(context: &Context, id: &str) -> Holding {
    match context.journals.get(id).map(|journal| journal.ended()) {
        Some(Some(End::HandedOver)) | None => (),
        Some(_) => return Holding::Request,
    }
    match context.standby.contains(id) {
        true => Holding::Copy,
        false => Holding::Nothing,
    }
}

/// accepts requests or copies of another daemon; returns how many
fn accept(context: &Context, handover: Handover) -> Taken {
    let now = Instant::now();
    let mut count = 0;
    for journal in handover.journals {
        if handover.copy {
            context.standby.insert(journal, now);
            count += 1;
            continue;
        }
        if resume(context, &journal, now) {
            count += 1;
        }
    }
    Taken { count }
}

/// continues a request of another daemon; false when all drivers are busy
fn resume(context: &Context, wire: &wire::Journal, now: Instant) -> bool {
    let copy = context.standby.remove(&wire.id, now);
    let journal = Arc::new(Journal::resume(wire, now));
    context.journals.insert(&journal);
    context
        .metrics
        .handovers
        .with_label_values(&["taken"])
        .inc();
    let origin = &journal.origin;
    let note = format!("tokens={}", journal.token_count());
    context
        .spans
        .add(origin.span_ids(), "hand_over", now, &note);
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
        context.standby.insert(copy, now);
    }
    false
}

/// finds the daemon that has a request, or else one that has a copy
pub fn locate(context: &Context, id: &str) -> Option<Holder> {
    let mut best: Option<Holder> = None;
    for member in candidates(context, id) {
        let params = Locate { id: id.to_owned() };
        let response: Result<Located, _> =
            context
                .node
                .call_blocking(&member, LOCATE, &params, LOCATE_TIMEOUT);
        let holding = match response {
            Ok(located) => located.holding,
            Err(_) => Holding::Nothing,
        };
        match holding {
            Holding::Request => return Some(Holder { member, holding }),
            Holding::Copy if best.is_none() => best = Some(Holder { member, holding }),
            Holding::Copy | Holding::Nothing => (),
        }
    }
    best
}

/// daemons that may have a request, most likely first: the one that it was reported to have
/// moved to, those of the data centre in its id, all others
fn candidates(context: &Context, id: &str) -> Vec<Member> {
    let data_centre = id
        .split_once('.')
        .map_or("", |(data_centre, _)| data_centre);
    let me = context.node.me().instance;
    let members = context.node.members();
    let peers = members.iter().filter(|member| member.instance != me);
    let (mut local, mut remote): (Vec<&Member>, Vec<&Member>) =
        peers.partition(|member| member.data_centre == data_centre);
    local.sort_by_key(|member| std::cmp::Reverse(weight(id, member)));
    remote.sort_by_key(|member| std::cmp::Reverse(weight(id, member)));
    local.truncate(MAX_CANDIDATES);
    remote.truncate(MAX_CANDIDATES);
    let target = context
        .node
        .handover_target(id)
        .filter(|member| member.instance != me);
    let mut all: Vec<Member> = target.into_iter().collect();
    all.extend(local.into_iter().chain(remote).cloned());
    all
}

/// daemons to hand requests over to: those of this data centre, or of this region if there are none
fn successors(context: &Context) -> Vec<Member> {
    let me = context.node.me();
    let mut local = context.node.data_centre_members();
    local.retain(|member| member.instance != me.instance);
    if !local.is_empty() {
        return local;
    }
    let members = context.node.members();
    let regional = members.iter().filter(|member| {
        member.instance != me.instance && member.region == me.region && member.state == State::Live
    });
    regional.cloned().collect()
}

fn weight(id: &str, member: &Member) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), member.instance)
}

fn successor<'a>(members: &'a [Member], id: &str) -> Option<&'a Member> {
    members.iter().max_by_key(|member| weight(id, member))
}

/// sends copies of requests; returns the requests of which no daemon accepted a copy
pub fn send_copies(context: &Context, journals: &[Arc<Journal>]) -> Vec<Arc<Journal>> {
    send(context, journals, true)
}

/// hands requests over; returns those that no daemon accepted, which continue here
pub fn hand_over(context: &Context, journals: &[Arc<Journal>]) -> Vec<Arc<Journal>> {
    let detached: Vec<Arc<Journal>> = journals
        .iter()
        .filter(|journal| journal.detach_driver())
        .cloned()
        .collect();
    let not_accepted = send(context, &detached, false);
    let now = Instant::now();
    for journal in &detached {
        if not_accepted.iter().any(|other| Arc::ptr_eq(other, journal)) {
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
        journal.end(End::HandedOver, now);
        context
            .metrics
            .handovers
            .with_label_values(&["given"])
            .inc();
    }
    not_accepted
}

fn send(context: &Context, journals: &[Arc<Journal>], copy: bool) -> Vec<Arc<Journal>> {
    let mut members = successors(context);
    let mut remaining = journals.to_vec();
    while !remaining.is_empty() && !members.is_empty() {
        let mut failed = Vec::new();
        let mut unavailable = Vec::new();
        for member in &members {
            let (assigned, others): (Vec<_>, Vec<_>) = remaining.into_iter().partition(|journal| {
                successor(&members, &journal.origin.id)
                    .is_some_and(|successor| successor.instance == member.instance)
            });
            remaining = others;
            let not_accepted = send_to(context, member, &assigned, copy);
            if !not_accepted.is_empty() {
                unavailable.push(member.instance);
                failed.extend(not_accepted);
            }
        }
        remaining = failed;
        members.retain(|member| !unavailable.contains(&member.instance));
    }
    remaining
}

/// sends requests to one daemon in calls of bounded size; returns those it did not accept
fn send_to(
    context: &Context,
    member: &Member,
    journals: &[Arc<Journal>],
    copy: bool,
) -> Vec<Arc<Journal>> {
    let mut not_accepted = Vec::new();
    for batch in batches(journals) {
        let now = Instant::now();
        let exported = batch.iter().map(|journal| journal.export(now)).collect();
        let params = Handover {
            journals: exported,
            copy,
        };
        let response: Result<Taken, _> =
            context
                .node
                .call_blocking(member, TAKE, &params, TAKE_TIMEOUT);
        let taken = response.map_or(0, |taken| taken.count as usize);
        let event = if copy { "copied" } else { "handed_over" };
        tracing::info!(event, to = member.vm, requests = batch.len(), taken);
        if taken < batch.len() {
            not_accepted.extend_from_slice(batch);
        } else if !copy {
            publish_moves(context, member, batch);
        }
    }
    not_accepted
}

/// publishes the new daemon of requests that left this data centre, since peers look for a
/// request in the data centre of its id
fn publish_moves(context: &Context, member: &Member, journals: &[Arc<Journal>]) {
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

/// splits requests into batches of at most [`MAX_CALL_BYTES`], at an estimated 16 bytes per token
fn batches(journals: &[Arc<Journal>]) -> Vec<&[Arc<Journal>]> {
    let mut batches = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, journal) in journals.iter().enumerate() {
        let size = journal.origin.prompt.len() + 16 * journal.token_count() as usize;
        if index > start && bytes + size > MAX_CALL_BYTES {
            batches.push(&journals[start..index]);
            start = index;
            bytes = 0;
        }
        bytes += size;
    }
    if start < journals.len() {
        batches.push(&journals[start..]);
    }
    batches
}
