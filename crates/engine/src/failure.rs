//! Failed calls to upstreams.

use std::fmt;
use std::io;

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::{data, value};

use crate::stated::Stated;

/// cause of a failed call; the spans of attempts contain the names of the variants
#[apply(value!)]
pub enum FailureKind {
    /// no connection could be opened, or it failed before any of the request was sent
    Unreachable,
    /// nothing was received within the time-out
    Silent,
    /// the connection was closed or reset before the response was complete
    Broken,
    /// the upstream has no such stream or path
    Unknown,
    /// the upstream rejected the request before running any of it
    Refused,
    /// the upstream responded with this error status
    Status(u16),
    /// the response could not be parsed, or the request could not be encoded
    Garbled,
}

/// a failed call
#[apply(data!)]
pub struct Failure {
    /// cause of the failure
    pub kind: FailureKind,
    /// whether the request may have run
    pub verdict: Verdict,
    /// error text for logs
    pub detail: String,
    /// what the upstream stated about itself, if it responded
    pub stated: Stated,
}

impl Failure {
    /// a failure with its cause, its verdict and a text for logs
    pub fn new(kind: FailureKind, verdict: Verdict, detail: impl Into<String>) -> Failure {
        Failure {
            kind,
            verdict,
            detail: detail.into(),
            stated: Stated::default(),
        }
    }

    /// the failure with what the upstream stated in its response
    pub(crate) fn with_stated(self, stated: Stated) -> Failure {
        Failure { stated, ..self }
    }

    /// classifies an I/O error; `sent` says whether the request may have been sent
    pub(crate) fn from_io(error: &io::Error, sent: bool) -> Failure {
        let verdict = if sent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let kind = match error.kind() {
            _ if !sent => FailureKind::Unreachable,
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => FailureKind::Silent,
            _ => FailureKind::Broken,
        };
        Failure::new(kind, verdict, error.to_string())
    }

    /// classifies an error of the HTTP library; `sent` as in [`Failure::from_io`]
    pub(crate) fn from_http(error: &attohttpc::Error, sent: bool) -> Failure {
        match error.kind() {
            attohttpc::ErrorKind::Io(error) => Failure::from_io(error, sent),
            _ if !sent => {
                Failure::new(FailureKind::Unreachable, Verdict::NotRun, error.to_string())
            }
            _ => Failure::new(FailureKind::Garbled, Verdict::MayHaveRun, error.to_string()),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = match self.kind {
            FailureKind::Unreachable => "the upstream can't be reached",
            FailureKind::Silent => "the upstream went silent",
            FailureKind::Broken => "the connection to the upstream broke",
            FailureKind::Unknown => "the upstream doesn't know the stream",
            FailureKind::Refused => "the upstream refused the request before running it",
            FailureKind::Status(status) => {
                return write!(f, "the upstream answered {status}: {}", self.detail);
            }
            FailureKind::Garbled => "the upstream's answer can't be understood",
        };
        write!(f, "{message}: {}", self.detail)
    }
}

impl std::error::Error for Failure {}
