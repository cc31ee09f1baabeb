//! Why a call got no whole answer.

use std::fmt;

use schema::failure::{Body, Verdict};

/// why a call got no whole answer
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// the daemon answered with an error
    Refused {
        /// HTTP status; 0 for an error inside a stream
        status: u16,
        /// what the daemon said, if it kept to its form
        body: Option<Body>,
    },
    /// no daemon could be reached, or the connection broke
    Broken(String),
    /// the answer does not keep to the protocol
    Malformed(String),
    /// the answer did not come in time
    Late,
}

impl Fault {
    /// what the daemon said about whether the request ran
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Fault::Refused {
                body: Some(body), ..
            } => Some(body.error.verdict),
            _ => None,
        }
    }

    /// the short name of the cause
    pub fn code(&self) -> &str {
        match self {
            Fault::Refused {
                body: Some(body), ..
            } => &body.error.code,
            _ => "",
        }
    }

    /// HTTP status of the answer; 0 if there was none
    pub fn status(&self) -> u16 {
        match self {
            Fault::Refused { status, .. } => *status,
            _ => 0,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Refused {
                status,
                body: Some(body),
            } => {
                let error = &body.error;
                write!(
                    f,
                    "{status} {} ({}): {}",
                    error.code, error.verdict, error.message
                )
            }
            Fault::Refused { status, body: None } => write!(f, "{status} without a reason"),
            Fault::Broken(message) => write!(f, "broken: {message}"),
            Fault::Malformed(message) => write!(f, "malformed: {message}"),
            Fault::Late => write!(f, "late"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<attohttpc::Error> for Fault {
    fn from(error: attohttpc::Error) -> Self {
        Fault::Broken(error.to_string())
    }
}
