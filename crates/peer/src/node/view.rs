use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::member::{Fact, Member};

/// a fact learned from another daemon
#[apply(data!)]
pub struct Notice {
    /// instance that published it
    pub origin: u64,
    /// what it says
    pub fact: Fact,
}

/// revision in force on a member
#[apply(data!)]
pub struct Applied {
    /// the member
    pub member: Member,
    /// revision of the configuration
    pub revision: u64,
}

/// what a workspace asks for
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rate {
    /// tokens asked for a second
    pub tokens_per_second: u64,
    /// requests in flight and waiting
    pub concurrent: u64,
}

/// demand of one workspace at three scopes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Demand {
    /// as this daemon last published it
    pub own: Rate,
    /// sum over the live daemons of this data centre, this one included
    pub data_centre: Rate,
    /// sum over all data centres; for one that is cut off, its last known sum
    pub fleet: Rate,
}

/// load of upstream VMs, as the daemon that polls them reported it
#[apply(data!)]
pub struct Load {
    /// instance of the daemon that polls
    pub origin: u64,
    /// time since it was learned
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
    /// calls made
    pub calls: u64,
    /// calls made that failed
    pub failures: u64,
    /// calls served
    pub served: u64,
    /// connections opened to other daemons
    pub connections: u64,
    /// notices dropped because a subscriber was slow
    pub dropped_notices: u64,
}
