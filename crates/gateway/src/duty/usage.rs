//! Usage reports: one count per window and workspace, fixed before the first attempt to send it.
//!
//! The counts of a window are written to the object API before they are sent. A later lease
//! holder that doesn't know whether they arrived sends the same counts again, so that no
//! window is ever reported with two different counts.
//!
//! A store that is restored from a copy may lack the latest counts, although they were sent. So
//! a window that may have been sent before the restore is reported only with the counts that the
//! restored ledger has, or that this process entered before; otherwise it is left out, since a
//! missing report is less harmful than a second, different one.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::sleep;

use super::Lease;
use crate::adapter::{Cloud, Dialect, ObjectError, Objects, Revision, Write};
use crate::peers::Peers;
use crate::shared::Shared;
use crate::usage::{self, Counts};

/// kind of the object that holds the ledger
const KIND: &str = "usage";

/// name of the object that holds the ledger
const NAME: &str = "reported";

/// interval between two checks for due windows
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// fraction of the time to report a window after which its counts are taken as complete, in
/// deployments where they arrive sooner; a successor needs the remaining time
const SETTLE_FRACTION: f64 = 0.45;

/// largest such fraction, in deployments of many daemons, whose counts arrive later
const MAX_SETTLE_FRACTION: f64 = 0.7;

/// number of past windows kept in the ledger
const MAX_WINDOWS: u64 = 4;

/// the counts of recent windows as reported or about to be reported
#[apply(message!)]
#[derive(Default)]
struct Ledger {
    windows: BTreeMap<u64, Counts>,
    /// generation of the store in which it was written
    #[serde(default)]
    generation: u64,
    /// earlier windows may have been reported before a restore, with counts that were lost
    #[serde(default)]
    first: u64,
}

/// state of one term as lease holder
#[derive(Default)]
struct Term {
    fence: u64,
    /// generation of the store when the ledger was read
    generation: u64,
    revision: Option<Revision>,
    ledger: Ledger,
    acknowledged: BTreeMap<u64, ()>,
}

impl Term {
    /// whether a window may be reported: its counts are known, or nobody can have reported it
    fn may_report(&self, window: u64) -> bool {
        window >= self.ledger.first || self.ledger.windows.contains_key(&window)
    }
}

/// reports usage while this daemon holds the lease, for as long as the process runs
pub async fn report_usage<D: Dialect, S: Objects, C: Cloud>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    cloud: Rc<C>,
    duty: (Rc<Lease>, Rc<Peers>),
) {
    let (lease, peers) = duty;
    let mut term: Option<Term> = None;
    // windows that this process has entered, in whatever term
    let mut entered: BTreeMap<u64, Counts> = BTreeMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(fence) = lease.fence() else {
            term = None;
            continue;
        };
        if term.as_ref().is_none_or(|term| term.fence != fence) {
            term = load_ledger(&shared, &*store, fence).await;
            if let Some(term) = &mut term {
                adopt(&shared, term, &entered);
            }
        }
        let Some(current) = &mut term else {
            continue;
        };
        for window in due(&shared, &peers, current) {
            if !record(&shared, &*store, &peers, current, window).await {
                term = None;
                break;
            }
            entered.clone_from(&current.ledger.windows);
            if !send(&*cloud, &lease, current, window).await {
                term = None;
                break;
            }
        }
    }
}

/// starts a term with the ledger of the previous lease holder
async fn load_ledger<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    fence: u64,
) -> Option<Term> {
    let result = store.get(KIND, NAME).await;
    shared.observe_generation(store);
    let object = match result {
        Ok(object) => object,
        Err(ObjectError::Missing) => {
            return Some(Term {
                fence,
                generation: shared.generation.current(),
                ..Term::default()
            });
        }
        Err(error) => {
            tracing::debug!(event = "usage_ledger_unread", cause = %error);
            return None;
        }
    };
    match serde_json::from_value(object.spec) {
        Ok(ledger) => Some(Term {
            fence,
            generation: object.revision.generation,
            revision: Some(object.revision),
            ledger,
            acknowledged: BTreeMap::new(),
        }),
        Err(error) => {
            tracing::error!(event = "usage_ledger_unreadable", %error);
            None
        }
    }
}

/// amends a ledger that was written before the store was restored: adds the windows that this
/// process entered, and excludes those that others may have entered
fn adopt<D: Dialect>(shared: &Shared<D>, term: &mut Term, entered: &BTreeMap<u64, Counts>) {
    let generation = term.generation;
    let ledger = &mut term.ledger;
    if ledger.generation >= generation {
        return;
    }
    for (window, counts) in entered {
        let entry = ledger.windows.entry(*window);
        entry.or_insert_with(|| counts.clone());
    }
    let restored_at = shared.generation.first_seen();
    let age = restored_at.map_or(Duration::ZERO, |at| {
        shared.clock.now().saturating_duration_since(at)
    });
    // the earliest time at which any daemon may have taken a window as complete
    let settle = shared
        .settings
        .policy
        .usage_deadline
        .mul_f64(SETTLE_FRACTION);
    let first = settled_window(shared, settle + age);
    tracing::warn!(
        event = "usage_ledger_restored",
        generation,
        before = ledger.generation,
        first,
        known = ledger.windows.len(),
    );
    ledger.first = first;
}

/// time after the end of a window after which its counts are taken as complete
fn settle_time<D: Dialect>(shared: &Shared<D>, peers: &Peers) -> Duration {
    let deadline = shared.settings.policy.usage_deadline;
    let least = deadline.mul_f64(SETTLE_FRACTION);
    let most = deadline.mul_f64(MAX_SETTLE_FRACTION);
    peers.counts_age().clamp(least, most)
}

/// the window that was current some time ago
fn settled_window<D: Dialect>(shared: &Shared<D>, age: Duration) -> u64 {
    let now = shared.wall_clock.now();
    let settled = now.checked_sub(age).unwrap_or(SystemTime::UNIX_EPOCH);
    usage::window(settled, shared.settings.policy.usage_window)
}

/// the complete windows whose reports are not yet acknowledged
fn due<D: Dialect>(shared: &Shared<D>, peers: &Peers, term: &Term) -> Vec<u64> {
    let policy = &shared.settings.policy;
    let current = settled_window(shared, settle_time(shared, peers));
    let overdue = policy.usage_deadline.as_millis() / policy.usage_window.as_millis().max(1);
    let oldest = current.saturating_sub(1 + u64::try_from(overdue).unwrap_or(0));
    (oldest..current)
        .filter(|window| !term.acknowledged.contains_key(window) && term.may_report(*window))
        .collect()
}

/// writes a window's counts to the ledger unless it has them; false if the write failed
async fn record<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    peers: &Peers,
    term: &mut Term,
    window: u64,
) -> bool {
    if term.generation != shared.generation.current() {
        return false;
    }
    let is_written = term.ledger.generation == term.generation;
    if is_written && term.ledger.windows.contains_key(&window) {
        return true;
    }
    let mut ledger = term.ledger.clone();
    let entry = ledger.windows.entry(window);
    entry.or_insert_with(|| peers.counts(shared, window));
    ledger.generation = term.generation;
    let oldest = window.saturating_sub(MAX_WINDOWS);
    ledger.windows.retain(|window, _| *window >= oldest);
    let spec = match serde_json::to_value(&ledger) {
        Ok(spec) => spec,
        Err(error) => {
            tracing::error!(event = "usage_ledger_unwritable", %error);
            return false;
        }
    };
    let how = term.revision.map_or(Write::Create, Write::Replace);
    let result = store.write(KIND, NAME, &spec, how).await;
    shared.observe_generation(store);
    match result {
        Ok(revision) if revision.generation != ledger.generation => {
            tracing::warn!(
                event = "usage_not_entered",
                window,
                cause = "the store was restored"
            );
            false
        }
        Ok(revision) => {
            term.revision = Some(revision);
            term.ledger = ledger;
            true
        }
        Err(error) => {
            tracing::warn!(event = "usage_not_entered", window, cause = %error);
            false
        }
    }
}

/// sends a window's recorded counts; false if the term has ended
async fn send<C: Cloud>(cloud: &C, lease: &Lease, term: &mut Term, window: u64) -> bool {
    let Some(counts) = term.ledger.windows.get(&window) else {
        return true;
    };
    let Some(permit) = lease.next_permit(term.fence).await else {
        tracing::info!(event = "usage_not_sent", window, fence = term.fence);
        return false;
    };
    match cloud.report_usage(&permit, window, counts).await {
        Ok(()) => {
            tracing::info!(
                event = "usage_reported",
                window,
                fence = permit.fence,
                ?counts
            );
            term.acknowledged.insert(window, ());
        }
        Err(error) => tracing::warn!(event = "usage_not_reported", window, cause = %error),
    }
    true
}
