use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use route::quarantine::{Evidence, Mark, Quarantine};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::adapter::Dialect;
use crate::serve::{Failure, Reason};
use crate::shared::Shared;

/// interval at which crashes are evaluated until they have settled
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// crashes and quarantined parts at this daemon
#[derive(Default)]
pub struct State {
    /// known crashes, successes and quarantined parts
    pub parts: RefCell<Quarantine>,
    /// what may have ended a VM, by its id and the start of its process, until it is checked whether it
    /// has ended
    pub(super) broken: RefCell<HashMap<(String, u64), Causes>>,
    /// evidence to send to the peers
    pub(crate) evidence: RefCell<Evidence>,
    /// notified when there is such evidence
    pub(crate) evidence_ready: Notify,
    /// notified when a crash was recorded
    pub(super) crashed: Notify,
}

/// requests whose responses broke at a VM, and the shared parts of their prompts
#[derive(Default)]
pub(super) struct Causes {
    pub parts: BTreeSet<u64>,
    pub requests: BTreeSet<u64>,
}

/// why a request with these shared parts, or this fingerprint, is refused, if it is
pub fn refusal<D: Dialect>(
    shared: &Shared<D>,
    causes: impl Iterator<Item = u64>,
) -> Option<Failure> {
    let now_ms = shared.wall_clock.now_ms();
    let refused_for = shared
        .quarantine
        .parts
        .borrow()
        .refused_for(causes, now_ms)?;
    Some(Failure::with_retry_after(Reason::Quarantined, refused_for))
}

/// applies what another daemon sent; what was new in it is passed on if `is_forwarded`
pub fn apply_evidence<D: Dialect>(shared: &Shared<D>, evidence: &Evidence, is_forwarded: bool) {
    if evidence.is_empty() {
        return;
    }
    let now_ms = shared.wall_clock.now_ms();
    let mut quarantine = shared.quarantine.parts.borrow_mut();
    let (news, reply) = quarantine.merge(evidence, now_ms);
    drop(quarantine);
    if !news.crashes.is_empty() {
        shared.quarantine.crashed.notify_one();
    }
    if is_forwarded {
        publish(shared, news);
    }
    publish(shared, reply);
}

/// applies the quarantined parts and requests in a report or a checkpoint; what was new in them is
/// passed on if `is_forwarded`
pub fn apply_marks<D: Dialect>(shared: &Shared<D>, marks: &[Mark], is_forwarded: bool) {
    let evidence = Evidence {
        marks: marks.to_vec(),
        ..Evidence::default()
    };
    apply_evidence(shared, &evidence, is_forwarded);
}

/// quarantines parts as crashes settle, for as long as the process runs
pub async fn evaluate_crashes<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        shared.quarantine.crashed.notified().await;
        loop {
            sleep(EVALUATION_INTERVAL).await;
            let now_ms = shared.wall_clock.now_ms();
            let mut quarantine = shared.quarantine.parts.borrow_mut();
            let evidence = quarantine.evaluate(now_ms);
            let is_unsettled = quarantine.is_unsettled(now_ms);
            drop(quarantine);
            publish(&shared, evidence);
            if !is_unsettled {
                break;
            }
        }
    }
}

/// queues evidence for the peers and logs what has changed
pub(super) fn publish<D: Dialect>(shared: &Shared<D>, evidence: Evidence) {
    for change in shared.quarantine.parts.borrow_mut().take_changes() {
        tracing::warn!(
            event = change.event(),
            id = format!("{:x}", change.id),
            crashes = change.crashes,
        );
    }
    if !evidence.is_empty() {
        shared.quarantine.evidence.borrow_mut().add(evidence);
        shared.quarantine.evidence_ready.notify_one();
    }
}
