use std::fmt;

use macro_rules_attribute::apply;
use route::verdict::Progress;
use schema::data;

/// why an exchange with another process failed
#[apply(data!)]
pub enum Error {
    /// the connection could not be established; nothing was sent
    Connect(String),
    /// the connection was closed before any byte of the request was written
    Unsent,
    /// the request was withdrawn while the connection was established
    Withdrawn,
    /// after the request was sent, the connection was closed or an invalid response received
    Lost(String),
    /// no response within the time-out
    TimedOut,
}

impl Error {
    /// how far the request got
    pub fn progress(&self) -> Progress {
        match self {
            Error::Connect(_) | Error::Unsent | Error::Withdrawn => Progress::Unsent,
            Error::Lost(_) | Error::TimedOut => Progress::Sent,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(cause) => write!(f, "could not connect: {cause}"),
            Error::Unsent => write!(f, "the connection was closed before the request was sent"),
            Error::Withdrawn => {
                write!(
                    f,
                    "the request was no longer to be sent when the connection was open"
                )
            }
            Error::Lost(cause) => write!(f, "the connection was lost: {cause}"),
            Error::TimedOut => write!(f, "no response within the time-out"),
        }
    }
}

impl std::error::Error for Error {}
