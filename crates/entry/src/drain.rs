//! Shutdown of the request path: a planned stop, or a stop after a preemption notice.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use route::drain::{BALANCER_DELAY, Schedule};
use schema::value;
use tokio::time::Instant;

use crate::context::Context;
use crate::handover;
use crate::journal::Journal;
use crate::lifecycle::Stage;

/// interval between checks for remaining requests
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// time after the drain for open responses to redirect their callers to another daemon; less than
/// what a preemption notice leaves, so that the listener can still answer the rest
const READERS_TIMEOUT: Duration = Duration::from_secs(1);

/// result of a shutdown
#[apply(value!)]
pub struct Report {
    /// requests handed over to other daemons
    pub handed_over: u32,
    /// requests that neither finished nor were accepted by another daemon
    pub lost: u32,
}

/// lets requests finish for up to `time`, hands the rest over and waits for open responses
///
/// This daemon must have announced to its peers beforehand that it leaves.
pub fn run(context: &Context, time: Duration) -> Report {
    let start = Instant::now();
    let exit = start + time + READERS_TIMEOUT;
    context.lifecycle.start_drain(Schedule::until(start, exit));
    let mut copied = HashSet::new();
    while start.elapsed() < time && !is_idle(context, start) {
        copy_new(context, &mut copied);
        std::thread::sleep(CHECK_INTERVAL);
    }
    context.lifecycle.advance(Stage::Closing);
    let open = context.journals.open();
    let not_accepted = handover::hand_over(context, &open);
    wait_for_responses(context, exit);
    let handed_over = (open.len() - not_accepted.len()) as u32;
    let lost = not_accepted
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
    start.elapsed() >= BALANCER_DELAY
        && context.journals.open().is_empty()
        && context.metrics.in_flight.get() == 0
}

/// sends copies of the requests that were not copied yet
fn copy_new(context: &Context, copied: &mut HashSet<String>) {
    let mut new: Vec<Arc<Journal>> = context.journals.open();
    new.retain(|journal| !copied.contains(&journal.origin.id));
    if new.is_empty() {
        return;
    }
    let not_accepted = handover::send_copies(context, &new);
    for journal in new {
        if !not_accepted
            .iter()
            .any(|other| Arc::ptr_eq(other, &journal))
        {
            copied.insert(journal.origin.id.clone());
        }
    }
}

/// waits until all responses are sent: redirects of callers and responses to plain calls
fn wait_for_responses(context: &Context, until: Instant) {
    while context.metrics.in_flight.get() > 0 && Instant::now() < until {
        std::thread::sleep(CHECK_INTERVAL);
    }
}
