//! Usage reports: each window once, with counts that never change after the first try.
//!
//! The counts of a window are written to the object API before they are sent. Whoever
//! holds the lease later sends the same counts again if it does not know that they
//! arrived, so that no window is ever reported with two different counts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use macro_rules_attribute::apply;
use schema::message;
use tokio::time::sleep;

use super::Holder;
use crate::adapter::{Cloud, Dialect, ObjectError, Objects, Write};
use crate::peers::Peers;
use crate::shared::Shared;
use crate::usage::{self, Counts};

/// kind of the object that holds the counts
const KIND: &str = "usage";

/// name of the object that holds the counts
const NAME: &str = "reported";

/// time between two looks at what is due
const TICK: Duration = Duration::from_millis(400);

/// part of the time to report a window after which its counts are taken to be there: sums
/// of zones pass three daemons, and a successor needs the rest
const SETTLE_PART: f64 = 0.45;

/// windows whose counts are kept
const WINDOWS_KEPT: u64 = 4;

/// the counts of the latest windows, as they are or were reported
#[apply(message!)]
#[derive(Default)]
struct Ledger {
    windows: BTreeMap<u64, Counts>,
}

/// what the holder of the lease knows
#[derive(Default)]
struct Term {
    fence: u64,
    revision: Option<u64>,
    ledger: Ledger,
    arrived: BTreeMap<u64, ()>,
}

/// reports usage for as long as the process runs
pub async fn usage<D: Dialect, S: Objects, C: Cloud>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    cloud: Rc<C>,
    duty: (Rc<Holder>, Rc<Peers>),
) {
    let (holder, peers) = duty;
    let mut term: Option<Term> = None;
    loop {
        sleep(TICK).await;
        let Some(fence) = holder.fence() else {
            term = None;
            continue;
        };
        if term.as_ref().is_none_or(|term| term.fence != fence) {
            term = begin(&*store, fence).await;
        }
        let Some(current) = &mut term else {
            continue;
        };
        for window in due(&shared, current) {
            if !enter(&shared, &*store, &peers, current, window).await {
                term = None;
                break;
            }
            send(&*cloud, &holder, current, window).await;
        }
    }
}

/// reads what the holder before has reported
async fn begin<S: Objects>(store: &S, fence: u64) -> Option<Term> {
    match store.get(KIND, NAME).await {
        Ok(object) => match serde_json::from_value(object.spec) {
            Ok(ledger) => Some(Term {
                fence,
                revision: Some(object.revision),
                ledger,
                arrived: BTreeMap::new(),
            }),
            Err(error) => {
                tracing::error!(event = "usage_ledger_unreadable", %error);
                None
            }
        },
        Err(ObjectError::Missing) => Some(Term {
            fence,
            ..Term::default()
        }),
        Err(fault) => {
            tracing::debug!(event = "usage_ledger_unread", cause = %fault);
            None
        }
    }
}

/// the windows that are complete and not known to have arrived
fn due<D: Dialect>(shared: &Shared<D>, term: &Term) -> Vec<u64> {
    let promises = &shared.settings.promises;
    let settled = SystemTime::now()
        .checked_sub(promises.usage_late.mul_f64(SETTLE_PART))
        .unwrap_or(SystemTime::UNIX_EPOCH);
    let current = usage::window(settled, promises.usage_window);
    let late = promises.usage_late.as_millis() / promises.usage_window.as_millis().max(1);
    let oldest = current.saturating_sub(1 + u64::try_from(late).unwrap_or(0));
    (oldest..current)
        .filter(|window| !term.arrived.contains_key(window))
        .collect()
}

/// writes a window's counts down, if they are not yet; false if the write failed
async fn enter<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    peers: &Peers,
    term: &mut Term,
    window: u64,
) -> bool {
    if term.ledger.windows.contains_key(&window) {
        return true;
    }
    let counts = peers.counts(shared, window);
    let mut ledger = term.ledger.clone();
    ledger.windows.insert(window, counts);
    let oldest = window.saturating_sub(WINDOWS_KEPT);
    ledger.windows.retain(|window, _| *window >= oldest);
    let spec = match serde_json::to_value(&ledger) {
        Ok(spec) => spec,
        Err(error) => {
            tracing::error!(event = "usage_ledger_unwritable", %error);
            return false;
        }
    };
    let how = term.revision.map_or(Write::Create, Write::Replace);
    match store.write(KIND, NAME, &spec, how).await {
        Ok(revision) => {
            term.revision = Some(revision);
            term.ledger = ledger;
            true
        }
        Err(fault) => {
            tracing::warn!(event = "usage_not_entered", window, cause = %fault);
            false
        }
    }
}

/// sends a window's counts
async fn send<C: Cloud>(cloud: &C, holder: &Holder, term: &mut Term, window: u64) {
    let Some(counts) = term.ledger.windows.get(&window) else {
        return;
    };
    let Some(permit) = holder.permit() else {
        return;
    };
    if permit.fence != term.fence {
        return;
    }
    match cloud.report_usage(&permit, window, counts).await {
        Ok(()) => {
            tracing::info!(
                event = "usage_reported",
                window,
                fence = permit.fence,
                ?counts
            );
            term.arrived.insert(window, ());
        }
        Err(fault) => tracing::warn!(event = "usage_not_reported", window, cause = %fault),
    }
}
