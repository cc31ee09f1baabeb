//! Failed calls to the cloud API.

use std::fmt;

use macro_rules_attribute::apply;
use schema::failure::Verdict;

/// cause of a failed call
#[apply(schema::data!)]
pub enum Error {
    /// no connection could be opened; nothing was sent
    Unreachable(String),
    /// the connection failed or timed out after the request may have been sent
    Interrupted(String),
    /// the cloud has no capacity for such a VM now
    NoCapacity,
    /// the name is used by a VM of another kind or in another pool
    NameTaken,
    /// the cloud refused the call (4xx)
    Refused(u16),
    /// the cloud failed (5xx); the call may have been executed
    Failed(u16),
    /// the cloud failed (5xx) and states that nothing of the call was executed
    Unavailable(u16),
    /// the response can't be parsed or is too large
    Malformed(String),
}

impl Error {
    /// whether the call may have taken effect
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Interrupted(_) | Error::Failed(_) | Error::Malformed(_) => Verdict::MayHaveRun,
            Error::Unreachable(_)
            | Error::NoCapacity
            | Error::NameTaken
            | Error::Refused(_)
            | Error::Unavailable(_) => Verdict::NotRun,
        }
    }

    /// whether the whole cloud API seems to be unavailable
    #[must_use]
    pub fn is_outage(&self) -> bool {
        match self {
            Error::Unreachable(_)
            | Error::Interrupted(_)
            | Error::Failed(_)
            | Error::Unavailable(_) => true,
            Error::NoCapacity | Error::NameTaken | Error::Refused(_) | Error::Malformed(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(cause) => write!(f, "can't connect to the cloud API: {cause}"),
            Error::Interrupted(cause) => write!(f, "call to the cloud API interrupted: {cause}"),
            Error::NoCapacity => f.write_str("the cloud has no capacity for this VM"),
            Error::NameTaken => f.write_str("the VM name is in use by another kind of VM"),
            Error::Refused(status) => {
                write!(f, "the cloud API refused the call with status {status}")
            }
            Error::Failed(status) | Error::Unavailable(status) => {
                write!(f, "the cloud API failed with status {status}")
            }
            Error::Malformed(cause) => write!(f, "invalid response of the cloud API: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
