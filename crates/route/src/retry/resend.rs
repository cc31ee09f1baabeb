//! Whether a request may be sent again after a failed attempt.

use macro_rules_attribute::apply;
use schema::value;

use crate::verdict::{self, Progress};

/// maximum VMs tried for a request as long as no byte of it has been sent
const MAX_UNSENT: u32 = 4;

/// state of a request after a failed attempt
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// how far the attempt got
    pub progress: Progress,
    /// whether the request may run more than once
    pub repeatable: bool,
    /// VMs that the request was sent to so far, including this one
    pub sent: u32,
    /// VMs that the request could not be sent to so far, including this one
    pub unsent: u32,
    /// maximum VMs that the request may be sent to
    pub max_sent: u32,
}

/// whether a request may be sent again
#[apply(value!)]
pub enum Resend {
    /// yes; no byte of the failed attempt was sent, so the next one is no repeat
    Free,
    /// yes, if the [`Allowance`](super::Allowance) of the service has a repeat left
    IfAllowance,
    /// no
    Never,
}

/// decides whether a request may be sent to another VM
///
/// A request that a VM answered with an internal error is sent again only if it is
/// repeatable.
pub fn may_resend(failed: &FailedAttempt) -> Resend {
    if failed.progress == Progress::Unsent {
        return if failed.unsent < MAX_UNSENT {
            Resend::Free
        } else {
            Resend::Never
        };
    }
    let allowed = verdict::repeatable(verdict::attempt(failed.progress), failed.repeatable);
    let replaceable = failed.progress == Progress::Answered && failed.repeatable;
    if failed.sent < failed.max_sent && (allowed || replaceable) {
        Resend::IfAllowance
    } else {
        Resend::Never
    }
}
