use std::fmt;

use macro_rules_attribute::apply;
use route::verdict::Progress;
use schema::data;

/// why an exchange with another process failed
#[apply(data!)]
pub enum Fault {
    /// no connection could be made; nothing was sent
    Connect(String),
    /// the connection ended before any byte of the request was written
    Unsent,
    /// the connection ended, or bytes came that are no answer, after the request was sent
    Lost(String),
    /// no answer within the time
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
            Fault::Connect(cause) => write!(f, "no connection: {cause}"),
            Fault::Unsent => write!(f, "the connection ended before the request was sent"),
            Fault::Lost(cause) => write!(f, "the connection was lost: {cause}"),
            Fault::Silent => write!(f, "no answer in time"),
        }
    }
}

impl std::error::Error for Fault {}
