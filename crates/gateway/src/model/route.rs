use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

use super::Call;

/// whether a route's requests may be repeated, and how they are answered
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// may run more than once
    Safe,
    /// may run at most once
    Unsafe,
    /// answered with an event stream
    Stream {
        /// whether an interrupted stream may be resumed on another VM
        resumable: bool,
    },
}

impl Kind {
    /// whether a request may run more than once
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// whether the response is an event stream
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// a service and its weight in a route's traffic
#[apply(data!)]
pub struct Target {
    /// the service
    pub service: String,
    /// its weight among the route's targets
    pub weight: u32,
}

/// destination and treatment of requests
#[apply(data!)]
pub struct Route {
    /// its name
    pub name: String,
    /// path prefix
    pub prefix: String,
    /// whether requests may be repeated
    pub kind: Kind,
    /// time limit of a request, unless its caller states a shorter one
    pub timeout: Duration,
    /// latency objective for the response or the first event
    pub objective: Duration,
    /// largest number of VMs that a request may be sent to
    pub attempts: u32,
    /// priority, 0 is the most urgent
    pub priority: u8,
    /// whether requests need no key
    pub open: bool,
    /// target services and their weights
    pub targets: Vec<Target>,
}

impl Route {
    /// time limit of a call: that of the route, unless its caller states a shorter one
    pub fn time_limit(&self, call: &Call) -> Duration {
        call.time_limit
            .map_or(self.timeout, |limit| limit.min(self.timeout))
    }

    /// selects a service by weight; `draw` is uniformly distributed over the requests
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut offset = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}
