//! Why a call to the cloud API failed.

use std::fmt;

use macro_rules_attribute::apply;
use schema::failure::Verdict;

/// why a call failed
#[apply(schema::data!)]
pub enum Error {
    /// no connection came about, nothing was sent
    Unreachable(String),
    /// the connection failed, or no answer came, after the call began to leave
    Interrupted(String),
    /// the cloud has no such VM to give now
    Capacity,
    /// the name belongs to a VM of another kind or place
    Taken,
    /// the cloud refused the call (4xx)
    Refused(u16),
    /// the cloud failed (5xx) and does not say that nothing was done
    Failed(u16),
    /// the cloud is down and says that nothing was done
    Down(u16),
    /// the answer can't be read
    Malformed(String),
}

impl Error {
    /// whether the call may have taken effect
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Interrupted(_) | Error::Failed(_) | Error::Malformed(_) => Verdict::MayHaveRun,
            Error::Unreachable(_)
            | Error::Capacity
            | Error::Taken
            | Error::Refused(_)
            | Error::Down(_) => Verdict::NotRun,
        }
    }

    /// whether the cloud as a whole seems to be out of reach
    #[must_use]
    pub fn is_outage(&self) -> bool {
        match self {
            Error::Unreachable(_) | Error::Interrupted(_) | Error::Failed(_) | Error::Down(_) => {
                true
            }
            Error::Capacity | Error::Taken | Error::Refused(_) | Error::Malformed(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(cause) => write!(f, "The cloud can't be reached: {cause}."),
            Error::Interrupted(cause) => write!(f, "The cloud did not answer: {cause}."),
            Error::Capacity => f.write_str("The cloud has no such VM to give."),
            Error::Taken => f.write_str("The name belongs to another kind of VM."),
            Error::Refused(code) => write!(f, "The cloud refused the call ({code})."),
            Error::Failed(code) | Error::Down(code) => write!(f, "The cloud failed ({code})."),
            Error::Malformed(cause) => write!(f, "The cloud's answer can't be read: {cause}."),
        }
    }
}

impl std::error::Error for Error {}
