use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::member::{Fact, Member};

/// a fact received from another daemon
#[apply(data!)]
pub struct Publication {
    /// instance that published it
    pub origin: u64,
    /// its content
    pub fact: Fact,
}

/// revision applied by a member
#[apply(data!)]
pub struct Applied {
    /// the member
    pub member: Member,
    /// revision of the configuration
    pub revision: u64,
}

/// rate of requests of a workspace
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rate {
    /// requested tokens per second
    pub tokens_per_second: u64,
    /// requests in flight and waiting
    pub concurrent: u64,
}

/// demand of one workspace on this daemon, in its data centre and in the fleet
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// as this daemon last published it
    pub local: Rate,
    /// sum over the live daemons of this data centre, this one included
    pub data_centre: Rate,
    /// sum over all data centres; for an unreachable one, its last known sum
    pub fleet: Rate,
}

/// load of upstream VMs, reported by the daemon that polls them
#[apply(data!)]
pub struct Load {
    /// instance of the daemon that polls
    pub origin: u64,
    /// time since the report was received
    pub age: Duration,
    /// the report
    pub report: schema::member::Load,
}

/// counters of the control traffic of one node since its start
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// bytes written to sockets
    pub sent_bytes: u64,
    /// bytes read from sockets
    pub received_bytes: u64,
    /// calls to other daemons
    pub calls: u64,
    /// calls to other daemons that failed
    pub failures: u64,
    /// calls from other daemons and operators
    pub served: u64,
    /// connections opened to other daemons
    pub connections: u64,
    /// publications dropped because a subscriber was slow
    pub dropped_publications: u64,
}
