use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use route::quarantine::{BEGIN_TIME, Crash};
use tokio::time::{Instant, sleep};

use super::state::publish;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::serve::Request;
use crate::shared::Shared;

/// time in which the other responses of a VM that has ended break as well
const GATHER_TIME: Duration = Duration::from_millis(20);

/// time limit of the connection that shows whether a VM has ended
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// records that the response to a request broke; `first_event` is the time of its first event
pub(crate) fn record_broken<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    first_event: Option<Instant>,
) {
    if first_event.is_some_and(|at| at.elapsed() > BEGIN_TIME) {
        return;
    }
    let key = (vm.id.clone(), vm.started_at_ms);
    let mut broken = shared.quarantine.broken.borrow_mut();
    let is_first = !broken.contains_key(&key);
    let causes = broken.entry(key).or_default();
    causes.parts.extend(request.call.shared_parts());
    causes.requests.insert(request.fingerprint);
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

/// records that the response to a request was begun and did not break
pub(crate) fn record_success<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    first_event: Instant,
) {
    let age_ms = u64::try_from(first_event.elapsed().as_millis()).unwrap_or(u64::MAX);
    let began_ms = shared.wall_clock.now_ms().saturating_sub(age_ms);
    let mut quarantine = shared.quarantine.parts.borrow_mut();
    let evidence = quarantine.record_success(request.causes(), began_ms);
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
    let causes = shared.quarantine.broken.borrow_mut().remove(&key);
    let Some(causes) = causes.filter(|_| is_refused) else {
        return;
    };
    if let Some(left_out) = shared.permit_log("vm_crashed") {
        tracing::info!(
            event = "vm_crashed",
            vm = key.0,
            parts = hexadecimal(&causes.parts),
            requests = hexadecimal(&causes.requests),
            left_out
        );
    }
    let crash = Crash {
        vm: key.0,
        started_at_ms,
        at_ms,
        parts: causes.parts.into_iter().collect(),
        requests: causes.requests.into_iter().collect(),
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

/// ids for logs
fn hexadecimal(ids: &BTreeSet<u64>) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}
