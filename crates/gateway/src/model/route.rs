use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

/// what may be done again with a route's requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// may run more than once
    Safe,
    /// may run once at most
    Unsafe,
    /// answered by an event stream
    Stream {
        /// whether a broken stream may go on at another VM
        resumable: bool,
    },
}

impl Kind {
    /// whether a request may run more than once
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// whether the answer is an event stream
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// a service and the part of a route's traffic that it gets
#[apply(data!)]
pub struct Target {
    /// the service
    pub service: String,
    /// its weight among the route's targets
    pub weight: u32,
}

/// where requests go, and how they are treated
#[apply(data!)]
pub struct Route {
    /// its name
    pub name: String,
    /// what its paths begin with
    pub prefix: String,
    /// what may be repeated
    pub kind: Kind,
    /// longest time to keep a request waiting
    pub timeout: Duration,
    /// time to the answer or the first event that callers hope for
    pub objective: Duration,
    /// most VMs that a request may be sent to
    pub attempts: u32,
    /// urgency, 0 first
    pub priority: u8,
    /// whether requests need no key
    pub open: bool,
    /// the services, by weight
    pub targets: Vec<Target>,
}

impl Route {
    /// chooses a service by a number that is even over the requests
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
