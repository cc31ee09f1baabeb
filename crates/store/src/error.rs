//! Why a call to the object API failed.

use std::fmt;

use schema::failure::Verdict;

/// why a call failed
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// no connection; nothing was sent
    Unreachable(String),
    /// the connection failed after the call began to leave
    Interrupted(String),
    /// the server failed (5xx); it may have done part of its work
    Failed {
        /// HTTP status
        code: u16,
        /// the server's words
        message: String,
    },
    /// the server refused the call (4xx)
    Refused {
        /// HTTP status
        code: u16,
        /// the server's words
        message: String,
    },
    /// the server takes no more calls now (429)
    Limited,
    /// the object has another version than the change was based on
    Conflict,
    /// an object of that name exists
    Exists,
    /// there is no object of that name
    Missing,
    /// the version to watch from is forgotten
    Expired,
    /// an object is too large to be kept
    TooLarge(usize),
    /// a change was answered in a way that can't be read
    Unreadable(String),
    /// a read failed on its way or at the server; nothing was to be changed
    Unanswered(String),
    /// a read was answered in a way that can't be read
    Malformed(String),
    /// reads show an older state than one seen before
    Stale,
    /// the fate of a change could not be settled in time
    Unsettled(String),
    /// the deadline passed before the change was sent
    Late,
    /// a key could not be claimed; its request does not run
    Unclaimed(String),
}

impl Error {
    /// whether the change may have taken effect
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Interrupted(_) | Error::Failed { .. } | Error::Unsettled(_) => {
                Verdict::MayHaveRun
            }
            Error::Unreadable(_) => Verdict::Ran,
            _ => Verdict::NotRun,
        }
    }

    /// the same failure of a call that changes nothing
    pub(crate) fn of_read(self) -> Error {
        match self {
            Error::Interrupted(cause) => Error::Unanswered(cause),
            Error::Failed { code, message } => Error::Unanswered(format!("{code} {message}")),
            other => other,
        }
    }

    /// whether the same call may succeed later
    pub fn is_passing(&self) -> bool {
        matches!(
            self,
            Error::Unreachable(_)
                | Error::Interrupted(_)
                | Error::Failed { .. }
                | Error::Unanswered(_)
                | Error::Limited
                | Error::Stale
                | Error::Unsettled(_)
                | Error::Late
                | Error::Unclaimed(_)
        )
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable(cause) => write!(f, "The store can't be reached: {cause}."),
            Error::Interrupted(cause) => {
                write!(
                    f,
                    "The connection to the store failed during a call: {cause}."
                )
            }
            Error::Failed { code, message } => write!(f, "The store failed ({code}): {message}."),
            Error::Refused { code, message } => {
                write!(f, "The store refused the call ({code}): {message}.")
            }
            Error::Limited => f.write_str("The store takes no more calls at the moment."),
            Error::Conflict => f.write_str("The object was changed by somebody else."),
            Error::Exists => f.write_str("An object of that name exists."),
            Error::Missing => f.write_str("There is no object of that name."),
            Error::Expired => f.write_str("The version to watch from is forgotten."),
            Error::TooLarge(bytes) => write!(f, "The object is too large: {bytes} bytes."),
            Error::Unreadable(cause) => {
                write!(
                    f,
                    "The store made the change but its answer can't be read: {cause}."
                )
            }
            Error::Unanswered(cause) => write!(f, "The store did not answer a read: {cause}."),
            Error::Malformed(cause) => write!(f, "The store's answer can't be read: {cause}."),
            Error::Stale => f.write_str("The store shows an older state than it did before."),
            Error::Unsettled(cause) => {
                write!(f, "It is unknown whether the change took effect: {cause}")
            }
            Error::Unclaimed(cause) => write!(f, "The key can't be claimed: {cause}"),
            Error::Late => f.write_str("The store did not get to the change in time."),
        }
    }
}

impl std::error::Error for Error {}
