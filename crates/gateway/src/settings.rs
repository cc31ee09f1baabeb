//! Settings of one process, as read by a deployment's adapter.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use route::{quota, rollout};

use crate::model::{Limit, Unit};

/// how far spending over all daemons may exceed a workspace's limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// window over which spending is measured
    pub window: Duration,
    /// fraction of a window's limit that may be spent beyond it
    pub fraction: f64,
    /// tokens that may be spent beyond that; applies only to limits counted in tokens
    pub tokens: f64,
}

/// fraction of the tolerance of a token limit that is added to the rate; the rest covers what
/// daemons spend before they receive each other's reports
const DISTRIBUTED_FRACTION: f64 = 0.5;

impl QuotaTolerance {
    /// the rate and burst to enforce, with part of the tolerance spread over the window
    ///
    /// A workspace slightly above its rate is then refused only what would exceed a window,
    /// not everything above the rate once the burst is used up.
    pub fn enforced_limit(&self, limit: &Limit) -> quota::Limit {
        let window = self.window.as_secs_f64();
        let window_limit = limit.rate * window + limit.burst;
        let tolerance = match limit.unit {
            Unit::Tokens { .. } => window_limit * self.fraction + self.tokens,
            Unit::Requests => 0.0,
        };
        quota::Limit {
            rate: limit.rate + DISTRIBUTED_FRACTION * tolerance / window,
            burst: limit.burst,
        }
    }
}

/// time limits and budgets that the deployment guarantees or relies on
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// time after an upstream VM starts draining in which requests may still reach it
    pub drain: Duration,
    /// time from the termination signal until the process is killed
    pub grace: Duration,
    /// time within which every daemon has to apply a new configuration
    pub apply_time: Duration,
    /// configuration age beyond which keys are no longer trusted; none if they always are
    pub max_key_age: Option<Duration>,
    /// retries allowed per request of a service
    pub retry_ratio: f64,
    /// window over which retries are counted
    pub retry_window: Duration,
    /// retries allowed per window in addition
    pub retry_burst: f64,
    /// tolerance of workspace limits
    pub quota: QuotaTolerance,
    /// duration of a lease, during which no other daemon may take it
    pub lease: Duration,
    /// length of a usage window
    pub usage_window: Duration,
    /// time after the end of a usage window by which it has to be reported
    pub usage_deadline: Duration,
    /// time after an outage of the object API within which live VMs whose entries expired have
    /// registered again
    pub relist_time: Duration,
}

/// settings of a process
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// whether this is the only daemon, which has no peers to learn from
    pub is_alone: bool,
    /// whether the whole system starts for the first time, so that no earlier state exists
    pub is_first_start: bool,
    /// name of this daemon
    pub name: String,
    /// zone of this daemon
    pub zone: String,
    /// region of each zone
    pub regions: HashMap<String, String>,
    /// listen address for callers
    pub callers: SocketAddr,
    /// listen address for the load balancer's readiness checks
    pub ready: SocketAddr,
    /// listen address for other daemons
    pub peers: SocketAddr,
    /// listen address for metrics
    pub metrics: SocketAddr,
    /// limit of open file descriptors
    pub descriptors: usize,
    /// memory of the machine in bytes; none if it is unknown, and callers are not limited by it
    pub memory: Option<u64>,
    /// whether this daemon may report usage
    pub reports_usage: bool,
    /// whether this daemon may order upstream VMs
    pub orders_capacity: bool,
    /// time limits and budgets
    pub policy: Policy,
    /// whether workspaces share a service's capacity fairly while it is short
    pub fair_shares: bool,
    /// whether VMs that are slow for a time get fewer requests
    pub vm_speeds: bool,
    /// whether an idle VM fetches a cached prompt from a busy one
    pub prompt_transfers: bool,
    /// bounds of roll-outs; none if the deployment does not use them
    pub rollout: Option<rollout::Bounds>,
}

impl Settings {
    /// the region of a zone; a zone without a configured region is its own region
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}
