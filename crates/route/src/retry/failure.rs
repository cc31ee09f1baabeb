//! Failed attempts.

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::value;

/// how an attempt failed
#[apply(value!)]
pub enum Kind {
    /// the VM refused the connection
    Refused,
    /// the connection could not be opened in time
    Unreachable,
    /// an open connection fell silent
    Silent,
    /// an open connection was closed or reset before the end
    Broken,
    /// the upstream was too busy and refused before execution
    Busy,
    /// the upstream is leaving; the request or the rest of it goes elsewhere
    Leaving,
    /// the upstream answered with a fault of its own
    Fault,
    /// the request itself was at fault
    Caller,
}

/// a failed attempt
#[apply(value!)]
pub struct Failure {
    /// how it failed
    pub kind: Kind,
    /// whether this attempt may have run
    pub verdict: Verdict,
}

impl Kind {
    /// tells whether the failure speaks against the VM's reachability
    pub fn counts_for_breaker(self) -> bool {
        match self {
            Kind::Refused | Kind::Unreachable | Kind::Silent | Kind::Broken => true,
            Kind::Busy | Kind::Leaving | Kind::Fault | Kind::Caller => false,
        }
    }

    /// tells whether the VM, and its prefix cache, may be gone
    pub fn is_vm_lost(self) -> bool {
        matches!(self, Kind::Refused | Kind::Unreachable)
    }

    /// tells whether an open connection failed, so that the VM itself may be well
    pub fn is_connection_lost(self) -> bool {
        matches!(self, Kind::Silent | Kind::Broken)
    }
}
