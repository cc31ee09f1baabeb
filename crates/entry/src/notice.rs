//! What upstream VMs state about themselves in their responses, from one daemon to all.
//!
//! A statement is published as an urgent fact when it changes, and again now and then while responses
//! contain it. Every daemon derives from the facts and the members how many requests it may send to a
//! VM with a limit ([`route::notice::share`]); a back-off closes the VM to the daemon that was refused
//! and lets the others use it less.
//!
//! Lock order: the statements, then the table of VMs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use engine::Stated;
use peer::State as Liveness;
use route::notice::{Daemon, Limited, Reach, share};
use route::table::Vm;
use schema::member::{Fact, Notice};
use tokio::time::{Instant, sleep};

use crate::context::Context;
use crate::lock;

/// interval at which the facts and the members are applied
const INTERVAL: Duration = Duration::from_millis(100);

/// time after which a statement is published again
const REPEAT_TIME: Duration = Duration::from_secs(60);

/// smallest extension of a back-off that is published
const MIN_EXTENSION: Duration = Duration::from_millis(500);

/// statements of one VM
#[derive(Debug, Clone, PartialEq)]
struct Known {
    address: String,
    limit: Option<f64>,
    closed_until: Instant,
    published: Instant,
}

/// statements of VMs at this daemon
#[derive(Debug, Default)]
pub struct State {
    known: Mutex<HashMap<String, Known>>,
    reach: Mutex<Reach>,
}

impl Context {
    /// records what a VM stated in a response to a request; only one that it ran shows that it has no
    /// limit any more
    pub(crate) fn record_stated(&self, vm: &str, address: &str, stated: Stated, has_run: bool) {
        let now = Instant::now();
        if let Some(time) = stated.back_off {
            self.vms.close_until(vm, now + time);
            tracing::info!(event = "vm_closed", vm, time_ms = time.as_millis() as u64);
        }
        let mut known = lock(&self.notices.known);
        let before = known.get(vm).filter(|known| known.address == address);
        let mut next = before.cloned().unwrap_or_else(|| Known {
            address: address.to_owned(),
            limit: None,
            closed_until: now,
            published: now,
        });
        let closed_until = now + stated.back_off.unwrap_or_default();
        let is_extended = closed_until >= next.closed_until + MIN_EXTENSION;
        next.closed_until = next.closed_until.max(closed_until);
        let has_limit_changed = (stated.limit.is_some() || has_run) && stated.limit != next.limit;
        let is_due = stated.limit.is_some() && now >= next.published + REPEAT_TIME;
        if !is_extended && !has_limit_changed && !is_due {
            return;
        }
        if has_limit_changed {
            next.limit = stated.limit;
            log_limit(vm, next.limit, "stated in a response");
        }
        next.published = now;
        let closed = next.closed_until.saturating_duration_since(now);
        let notice = Notice {
            vm: vm.to_owned(),
            address: address.to_owned(),
            limit: next.limit,
            closed_ms: u64::try_from(closed.as_millis()).unwrap_or(u64::MAX),
        };
        known.insert(vm.to_owned(), next);
        drop(known);
        self.node.publish(Fact::Notice(notice));
        self.apply_limits();
    }

    /// applies the statements that were published, by this daemon or others
    fn apply_notices(&self) {
        let now = Instant::now();
        let notices = self.node.notices();
        let mut known = HashMap::new();
        let mut avoided = Vec::new();
        let mut before = lock(&self.notices.known);
        for (notice, age) in notices {
            let published = now.checked_sub(age).unwrap_or(now);
            let previous = before.get(&notice.vm);
            if previous.and_then(|known| known.limit) != notice.limit {
                log_limit(&notice.vm, notice.limit, "another daemon states it");
            }
            let closed_until = published + Duration::from_millis(notice.closed_ms);
            if previous.is_none_or(|known| known.closed_until < closed_until) {
                avoided.push((notice.vm.clone(), closed_until));
            }
            let next = Known {
                address: notice.address,
                limit: notice.limit,
                closed_until,
                published,
            };
            known.insert(notice.vm, next);
        }
        *before = known;
        drop(before);
        for (vm, until) in avoided {
            self.vms.avoid_until(&vm, until);
        }
        self.apply_limits();
    }

    /// divides the limits of VMs anew among the daemons
    fn apply_limits(&self) {
        let now = Instant::now();
        let (me, members) = (self.node.me(), self.node.members());
        let part = lock(&self.notices.reach).part(members.len(), now);
        let is_sender = |member: &&peer::Member| {
            member.instance == me.instance
                || !matches!(member.state, Liveness::Gone | Liveness::Leaving)
        };
        let senders = members.iter().filter(is_sender);
        let daemons: Vec<Daemon<'_>> = senders
            .map(|member| Daemon {
                name: &member.vm,
                zone: &member.data_centre,
            })
            .collect();
        let known = lock(&self.notices.known);
        let limit = |vm: &Vm| {
            let known = known.get(&vm.name);
            let limit = known.filter(|known| known.address == vm.address)?.limit?;
            let limited = Limited {
                id: &vm.name,
                zone: &vm.data_centre,
                limit,
                part,
            };
            Some(share(&limited, &me.vm, &daemons))
        };
        self.vms.set_limits(limit, now);
    }
}

/// applies the statements of all daemons, for as long as this one runs
pub fn start(context: &Arc<Context>) {
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn(async move {
        loop {
            sleep(INTERVAL).await;
            context.apply_notices();
        }
    });
}

/// logs the limit of a VM, or its end
fn log_limit(vm: &str, limit: Option<f64>, cause: &str) {
    match limit {
        Some(per_second) => tracing::info!(event = "vm_limited", vm, per_second, cause),
        None => tracing::info!(event = "vm_limit_ended", vm, cause),
    }
}
