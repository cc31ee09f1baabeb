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
    /// nothing was received on an open connection for too long
    TimedOut,
    /// an open connection was closed or reset before the response was complete
    Disconnected,
    /// the upstream was overloaded and refused the request before execution
    Busy,
    /// the upstream is draining; the request, or the rest of its response, moves to another VM
    Draining,
    /// the upstream answered with an internal error
    ServerError,
    /// the request was invalid
    InvalidRequest,
}

/// a failed attempt
#[apply(value!)]
pub struct Failure {
    /// how the attempt failed
    pub kind: Kind,
    /// whether the upstream may have executed this attempt
    pub verdict: Verdict,
}

impl Kind {
    /// whether the failure indicates that the VM is unreachable
    pub fn counts_for_breaker(self) -> bool {
        match self {
            Kind::Refused | Kind::Unreachable | Kind::TimedOut | Kind::Disconnected => true,
            Kind::Busy | Kind::Draining | Kind::ServerError | Kind::InvalidRequest => false,
        }
    }

    /// whether the VM, and with it its prefix cache, may be lost
    pub fn is_vm_lost(self) -> bool {
        matches!(self, Kind::Refused | Kind::Unreachable)
    }

    /// whether an open connection failed, while the VM itself may still work
    pub fn is_connection_lost(self) -> bool {
        matches!(self, Kind::TimedOut | Kind::Disconnected)
    }
}
