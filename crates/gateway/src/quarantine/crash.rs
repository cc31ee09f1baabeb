use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use route::quarantine::{BEGIN_TIME, Crash};
use tokio::time::{Instant, sleep};

use super::state::publish;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::shared::Shared;

/// time in which the other responses of a VM that has ended break as well
const GATHER_TIME: Duration = Duration::from_millis(20);

/// time limit of the connection that shows whether a VM has ended
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// records that a response with these shared parts broke; `first_event` is the time of its first
/// event
pub fn record_broken<D: Dialect>(
    shared: &Rc<Shared<D>>,
    parts: impl Iterator<Item = u64>,
    vm: &Vm,
    first_event: Option<Instant>,
) {
    if first_event.is_some_and(|at| at.elapsed() > BEGIN_TIME) {
        return;
    }
    let mut parts = parts.peekable();
    if parts.peek().is_none() {
        return;
    }
    let key = (vm.id.clone(), vm.started_at_ms);
    let mut broken = shared.quarantine.broken.borrow_mut();
    let is_first = !broken.contains_key(&key);
    broken.entry(key).or_default().extend(parts);
    drop(broken);
    if is_first {
        let check = check(
            Rc::clone(shared),
            vm.id.clone(),
            vm.started_at_ms,
            vm.address,
        );
        tokio::task::spawn_local(check);
    }
}

/// records that a response with these shared parts was begun and did not break
pub fn record_success<D: Dialect>(
    shared: &Shared<D>,
    parts: impl Iterator<Item = u64>,
    first_event: Instant,
) {
    let age_ms = u64::try_from(first_event.elapsed().as_millis()).unwrap_or(u64::MAX);
    let began_ms = shared.wall_clock.now_ms().saturating_sub(age_ms);
    let mut quarantine = shared.quarantine.parts.borrow_mut();
    let evidence = quarantine.record_success(parts, began_ms);
    drop(quarantine);
    publish(shared, evidence);
}

/// records a crash if the VM has ended
async fn check<D: Dialect>(
    shared: Rc<Shared<D>>,
    id: String,
    started_at_ms: u64,
    address: SocketAddr,
) {
    let at_ms = shared.wall_clock.now_ms();
    sleep(GATHER_TIME).await;
    let is_refused = shared.pool.is_refused(address, CHECK_TIMEOUT).await;
    let key = (id, started_at_ms);
    let parts = shared.quarantine.broken.borrow_mut().remove(&key);
    let Some(parts) = parts.filter(|_| is_refused) else {
        return;
    };
    if let Some(left_out) = shared.permit_log("vm_crashed") {
        let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        tracing::info!(
            event = "vm_crashed",
            vm = key.0,
            parts = ids.join(","),
            left_out
        );
    }
    let crash = Crash {
        vm: key.0,
        started_at_ms,
        at_ms,
        parts: parts.into_iter().collect(),
    };
    let now_ms = shared.wall_clock.now_ms();
    let evidence = shared
        .quarantine
        .parts
        .borrow_mut()
        .record_crash(crash, now_ms);
    shared.quarantine.crashed.notify_one();
    publish(&shared, evidence);
}
