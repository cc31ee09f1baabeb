//! Reasons why a call got no complete response.

use std::fmt;

use schema::failure::{Body, Verdict};

/// reason why a call got no complete response
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// the daemon responded with an error
    ErrorResponse {
        /// HTTP status; 0 for an error inside a stream
        status: u16,
        /// error body, if it could be parsed
        body: Option<Body>,
    },
    /// no daemon could be reached, or the connection failed
    Connection(String),
    /// the response violates the protocol
    InvalidResponse(String),
    /// the response was not complete in time
    TimedOut,
}

impl Error {
    /// the daemon's verdict on whether the request ran
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Error::ErrorResponse {
                body: Some(body), ..
            } => Some(body.error.verdict),
            _ => None,
        }
    }

    /// error code of the response; empty if there was none
    pub fn code(&self) -> &str {
        match self {
            Error::ErrorResponse {
                body: Some(body), ..
            } => &body.error.code,
            _ => "",
        }
    }

    /// HTTP status of the response; 0 if there was none
    pub fn status(&self) -> u16 {
        match self {
            Error::ErrorResponse { status, .. } => *status,
            _ => 0,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::ErrorResponse {
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
            Error::ErrorResponse { status, body: None } => {
                write!(f, "{status} without an error body")
            }
            Error::Connection(message) => write!(f, "connection failed: {message}"),
            Error::InvalidResponse(message) => write!(f, "invalid response: {message}"),
            Error::TimedOut => write!(f, "response was not complete in time"),
        }
    }
}

impl std::error::Error for Error {}

impl From<attohttpc::Error> for Error {
    fn from(error: attohttpc::Error) -> Self {
        Error::Connection(error.to_string())
    }
}
