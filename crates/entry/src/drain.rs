//! The planned stop of a daemon, and its stop after a reclaim notice.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;
use tokio::time::Instant;

use crate::context::Context;
use crate::handover;
use crate::journal::Journal;
use crate::stage::Phase;

/// period at which the stop looks at what is left
const PERIOD: Duration = Duration::from_millis(100);
/// time that a balancer takes to send no more requests
const BALANCER: Duration = Duration::from_secs(2);
/// longest wait for readers to be sent on to another daemon
const READERS: Duration = Duration::from_secs(2);

/// how a stop went
#[apply(value!)]
pub struct Report {
    /// requests handed over
    pub handed_over: u32,
    /// requests that neither finished nor were taken by another daemon
    pub lost: u32,
}

/// finishes what fits into `time`, hands the rest over and waits for the readers
///
/// The caller says beforehand to the other daemons that this one leaves.
pub fn run(context: &Context, time: Duration) -> Report {
    let start = Instant::now();
    context.stage.advance(Phase::Draining);
    let mut copied = HashSet::new();
    while start.elapsed() < time && !is_idle(context, start) {
        copy_new(context, &mut copied);
        std::thread::sleep(PERIOD);
    }
    context.stage.advance(Phase::Closing);
    let open = context.journals.open();
    let kept = handover::hand_over(context, &open);
    wait_for_readers(context, Instant::now() + READERS);
    let handed_over = (open.len() - kept.len()) as u32;
    let lost = kept
        .iter()
        .filter(|journal| journal.ended().is_none())
        .count() as u32;
    tracing::info!(
        event = "drained",
        handed_over,
        lost,
        took_ms = start.elapsed().as_millis() as u64
    );
    Report { handed_over, lost }
}

fn is_idle(context: &Context, start: Instant) -> bool {
    start.elapsed() >= BALANCER
        && context.journals.open().is_empty()
        && context.metrics.in_flight.get() == 0
}

/// sends copies of requests that have none yet
fn copy_new(context: &Context, copied: &mut HashSet<String>) {
    let mut new: Vec<Arc<Journal>> = context.journals.open();
    new.retain(|journal| !copied.contains(&journal.origin.id));
    if new.is_empty() {
        return;
    }
    let refused = handover::copy(context, &new);
    for journal in new {
        if !refused.iter().any(|refused| Arc::ptr_eq(refused, &journal)) {
            copied.insert(journal.origin.id.clone());
        }
    }
}

/// waits until every caller is sent on and every plain call is answered
fn wait_for_readers(context: &Context, until: Instant) {
    while context.metrics.in_flight.get() > 0 && Instant::now() < until {
        std::thread::sleep(PERIOD);
    }
}
