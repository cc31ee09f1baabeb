//! Settings of one process, as a deployment's adapter reads them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use route::quota;

use crate::model::{Limit, Unit};

/// what a workspace's limit may be exceeded by, as it is measured over all daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// length of the window in which spending is measured
    pub window: Duration,
    /// part of the limit of a window that may be spent beyond it
    pub part: f64,
    /// units of a limit counted in tokens that may be spent besides
    pub tokens: f64,
}

/// part of what a limit counted in tokens may be exceeded by that is handed out; the rest
/// covers what daemons spend before they hear of each other
const HANDED_OUT: f64 = 0.5;

impl QuotaSlack {
    /// the limit to keep: what a window allows, handed out evenly beside the burst
    ///
    /// Callers of a workspace a little above its rate are so refused only what would exceed
    /// a window, not all that exceeds the rate for longer than the burst lasts.
    pub fn terms(&self, limit: &Limit) -> quota::Limit {
        let window = self.window.as_secs_f64();
        let strict = limit.rate * window + limit.burst;
        let beyond = match limit.unit {
            Unit::Tokens { .. } => strict * self.part + self.tokens,
            Unit::Requests => 0.0,
        };
        quota::Limit {
            rate: limit.rate + HANDED_OUT * beyond / window,
            burst: limit.burst,
        }
    }
}

/// times and budgets that the deployment promises or is promised
#[derive(Debug, Clone, PartialEq)]
pub struct Promises {
    /// time after an upstream VM's leaving in which requests may still reach it
    pub drain: Duration,
    /// time from the order to stop until the process is killed
    pub grace: Duration,
    /// time in which a configuration is in force everywhere
    pub apply: Duration,
    /// age of the configuration beyond which keys are not trusted; none if they always are
    pub key_trust: Option<Duration>,
    /// retries allowed for each request of a service
    pub retry_ratio: f64,
    /// window over which retries are counted
    pub retry_window: Duration,
    /// retries allowed in a window besides
    pub retry_burst: f64,
    /// what limits may be exceeded by
    pub quota: QuotaSlack,
    /// time for which a lease binds others
    pub lease: Duration,
    /// length of a window of usage
    pub usage_window: Duration,
    /// time after the end of a window in which its usage has to be reported
    pub usage_late: Duration,
    /// time in which VMs that lapsed while the object API was out are back in its lists
    pub relist: Duration,
}

/// what a process has to know to start
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// whether the whole system starts for the first time
    pub is_first_start: bool,
    /// name of this daemon
    pub name: String,
    /// its zone
    pub zone: String,
    /// region of each zone
    pub regions: HashMap<String, String>,
    /// where callers connect
    pub callers: SocketAddr,
    /// where the balancer asks whether this daemon is ready
    pub ready: SocketAddr,
    /// where other daemons connect
    pub peers: SocketAddr,
    /// where metrics are served
    pub metrics: SocketAddr,
    /// most connections and files that the process may have open
    pub descriptors: usize,
    /// whether usage is to be reported
    pub reports_usage: bool,
    /// whether upstream VMs are to be ordered
    pub orders_capacity: bool,
    /// times and budgets
    pub promises: Promises,
}

impl Settings {
    /// the region of a zone; a zone that is not listed is a region of its own
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
