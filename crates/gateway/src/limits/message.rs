use std::time::Duration;

use macro_rules_attribute::apply;
use schema::message;

/// a request to charge units to the limit of a workspace, or to give them back
#[apply(message!)]
pub struct Charge {
    /// name of the workspace
    pub workspace: String,
    /// zone of the asking daemon
    pub zone: String,
    /// units of its limit
    pub units: f64,
    /// units that the asking daemon has refused since its last request
    #[serde(default)]
    pub refused: f64,
    /// whether its caller has waited for longer than the objective
    #[serde(default)]
    pub is_late: bool,
}

/// answer to a [`Charge`]
#[apply(message!)]
#[derive(Copy)]
pub enum Ruling {
    /// the units are charged
    Granted,
    /// the limit is spent
    Refused {
        /// time until the request should be repeated, milliseconds
        wait_ms: u64,
    },
    /// the asked daemon does not decide on this limit
    NotOwner,
}

impl Ruling {
    /// a refusal with the time until the request should be repeated
    pub fn refused(wait: Duration) -> Ruling {
        Ruling::Refused {
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// a copy of an owner's ledger for its deputy
#[apply(message!)]
pub struct LedgerCopy {
    /// name of the workspace
    pub workspace: String,
    /// units that may be granted
    pub level: f64,
    /// units granted to daemons that have not reported them yet
    pub unreported: f64,
    /// units granted since the ledger was opened
    #[serde(default)]
    pub total: f64,
    /// the copying daemon
    #[serde(default)]
    pub from: String,
}
