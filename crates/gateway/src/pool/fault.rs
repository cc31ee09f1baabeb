use std::fmt;

use macro_rules_attribute::apply;
use route::verdict::Progress;
use schema::data;

/// why an exchange with another process failed
#[apply(data!)]
pub enum Fault {
    /// the connection could not be established; nothing was sent
    Connect(String),
    /// the connection was closed before any byte of the request was written
    Unsent,
    /// after the request was sent, the connection was closed or an invalid response received
    Lost(String),
    /// no response within the time-out
    Silent,
}

impl Fault {
    /// how far the request got
    pub fn progress(&self) -> Progress {
        match self {
            Fault::Connect(_) | Fault::Unsent => Progress::Unsent,
            Fault::Lost(_) | Fault::Silent => Progress::Sent,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Connect(cause) => write!(f, "could not connect: {cause}"),
            Fault::Unsent => write!(f, "the connection was closed before the request was sent"),
            Fault::Lost(cause) => write!(f, "the connection was lost: {cause}"),
            Fault::Silent => write!(f, "no response within the time-out"),
        }
    }
}

impl std::error::Error for Fault {}
