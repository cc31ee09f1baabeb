use std::time::Duration;

use route::notice::Notice;
use tokio::time::Instant;

use crate::adapter::{self, Dialect};
use crate::clock::millis;
use crate::model::Vm;
use crate::shared::Shared;

/// largest number of queued statements; the others follow with the reports
const MAX_NEWS: usize = 1024;

/// records what a VM stated in a response that it sent in full or with which it refused a request
///
/// Only a response to a request that it ran shows that it has no limit any more: a refusal may be
/// sent by another part of the VM.
pub fn record<D: Dialect>(shared: &Shared<D>, vm: &Vm, stated: &adapter::Notice, has_run: bool) {
    let now_ms = shared.wall_clock.now_ms();
    let mut notice = Notice {
        is_draining: stated.is_draining,
        ..Notice::new(&vm.id, vm.started_at_ms)
    };
    if let Some(time) = stated.back_off {
        notice.closed_until_ms = now_ms.saturating_add(millis(time));
    }
    if stated.limit.is_some() || has_run {
        notice.limit = stated.limit;
        notice.limit_stated_ms = now_ms;
    }
    if stated.is_draining {
        shared.start_drain(vm, "stated in a response");
    }
    merge(shared, &notice, "stated in a response", true);
}

/// applies the statements that another daemon sent; what was new in them is passed on if
/// `is_forwarded`
pub fn apply<D: Dialect>(shared: &Shared<D>, notices: &[Notice], is_forwarded: bool) {
    for notice in notices {
        if notice.is_draining {
            shared.start_drain_of(&notice.vm, notice.started_at_ms, "a peer states it");
        }
        if let Some(known) = merge(shared, notice, "a peer states it", is_forwarded) {
            avoid(shared, &known);
        }
    }
}

/// merges statements; returns what is known of the VM now if they were new
fn merge<D: Dialect>(
    shared: &Shared<D>,
    notice: &Notice,
    cause: &str,
    is_forwarded: bool,
) -> Option<Notice> {
    let now_ms = shared.wall_clock.now_ms();
    let mut table = shared.notices.table.borrow_mut();
    let before = table.limit(&notice.vm, notice.started_at_ms);
    let known = table.merge(notice, now_ms)?;
    drop(table);
    if known.limit != before {
        log_limit(&known, cause);
        shared.update_limits();
    }
    if is_forwarded {
        let mut news = shared.notices.news.borrow_mut();
        if news.len() < MAX_NEWS {
            news.push(known.clone());
        }
        shared.notices.news_ready.notify_one();
    }
    Some(known)
}

/// uses a VM less that wants no requests from another daemon
fn avoid<D: Dialect>(shared: &Shared<D>, notice: &Notice) {
    let left_ms = notice
        .closed_until_ms
        .saturating_sub(shared.wall_clock.now_ms());
    if left_ms == 0 {
        return;
    }
    let vms = shared.vms.borrow();
    let listed = vms.get(&notice.vm);
    if let Some(vm) = listed.filter(|vm| vm.started_at_ms == notice.started_at_ms) {
        let until = Instant::now() + Duration::from_millis(left_ms);
        let mut placement = shared.placement.borrow_mut();
        placement.avoid_until(&vm.service, &vm.id, until);
    }
}

/// logs the limit of a VM, or its end
pub(super) fn log_limit(notice: &Notice, cause: &str) {
    let vm = &notice.vm;
    match notice.limit {
        Some(per_second) => tracing::info!(event = "vm_limited", vm, per_second, cause),
        None => tracing::info!(event = "vm_limit_ended", vm, cause),
    }
}
