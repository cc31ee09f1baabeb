//! Reasons why a call got no complete response.

use std::fmt;

use schema::failure::{Body, Verdict};

/// reason why a call got no complete response
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// the daemon responded with an error
    Refused {
        /// HTTP status; 0 for an error inside a stream
        status: u16,
        /// error body, if it could be parsed
        body: Option<Body>,
    },
    /// no daemon could be reached, or the connection failed
    Broken(String),
    /// the response violates the protocol
    Malformed(String),
    /// the response was not complete in time
    Late,
}

impl Fault {
    /// the daemon's verdict on whether the request ran
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Fault::Refused {
                body: Some(body), ..
            } => Some(body.error.verdict),
            _ => None,
        }
    }

    /// error code of the response; empty if there was none
    pub fn code(&self) -> &str {
        match self {
            Fault::Refused {
                body: Some(body), ..
            } => &body.error.code,
            _ => "",
        }
    }

    /// HTTP status of the response; 0 if there was none
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
            Fault::Refused { status, body: None } => write!(f, "{status} without an error body"),
            Fault::Broken(message) => write!(f, "connection failed: {message}"),
            Fault::Malformed(message) => write!(f, "invalid response: {message}"),
            Fault::Late => write!(f, "response was not complete in time"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<attohttpc::Error> for Fault {
    fn from(error: attohttpc::Error) -> Self {
        Fault::Broken(error.to_string())
    }
}
