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
    /// parts of the responses that broke, by VM and start of its process, until it is checked
    /// whether the VM has ended
    pub(super) broken: RefCell<HashMap<(String, u64), BTreeSet<u64>>>,
    /// evidence to send to the peers
    pub(crate) evidence: RefCell<Evidence>,
    /// notified when there is such evidence
    pub(crate) evidence_ready: Notify,
    /// notified when a crash was recorded
    pub(super) crashed: Notify,
}

/// why a prompt with these shared parts is refused, if it is
pub fn refusal<D: Dialect>(
    shared: &Shared<D>,
    parts: impl Iterator<Item = u64>,
) -> Option<Failure> {
    let now_ms = shared.wall_clock.now_ms();
    let refused_for = shared
        .quarantine
        .parts
        .borrow()
        .refused_for(parts, now_ms)?;
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

/// applies the quarantined parts in a report or a checkpoint
pub fn apply_marks<D: Dialect>(shared: &Shared<D>, marks: &[Mark]) {
    let evidence = Evidence {
        marks: marks.to_vec(),
        ..Evidence::default()
    };
    apply_evidence(shared, &evidence, false);
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
            part = format!("{:x}", change.part),
            crashes = change.crashes,
        );
    }
    if !evidence.is_empty() {
        shared.quarantine.evidence.borrow_mut().add(evidence);
        shared.quarantine.evidence_ready.notify_one();
    }
}
