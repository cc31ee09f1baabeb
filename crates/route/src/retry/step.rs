use macro_rules_attribute::apply;
use schema::value;

use crate::verdict::{self, Progress};

/// VMs that are tried one after the other while none of them gets a byte of the request
const UNSENT_MOST: u32 = 4;

/// what is known when an attempt failed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// how far the attempt got
    pub progress: Progress,
    /// whether the request may run more than once
    pub repeatable: bool,
    /// VMs that were sent the request so far, this one included
    pub sent: u32,
    /// VMs that could not be sent the request so far, this one included
    pub unsent: u32,
    /// most VMs that may be sent the request
    pub attempts: u32,
}

/// whether a request may be sent again
#[apply(value!)]
pub enum Again {
    /// yes; nothing reached a VM, so that it is no repeat
    Free,
    /// yes, if there is an allowance for a repeat
    Allowed,
    /// no
    Never,
}

/// decides whether a request may be sent to another VM after a failed attempt
///
/// An answer that a VM gave as its own failure may be replaced only where the request
/// may run again.
pub fn again(failed: &Failed) -> Again {
    if failed.progress == Progress::Unsent {
        return if failed.unsent < UNSENT_MOST {
            Again::Free
        } else {
            Again::Never
        };
    }
    let certain = verdict::repeatable(verdict::attempt(failed.progress), failed.repeatable);
    let replaceable = failed.progress == Progress::Answered && failed.repeatable;
    if failed.sent < failed.attempts && (certain || replaceable) {
        Again::Allowed
    } else {
        Again::Never
    }
}
