//! Failures of calls to upstreams.

use std::fmt;
use std::io;

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::{data, value};

/// what went wrong
#[apply(value!)]
pub enum Kind {
    /// no connection could be opened
    Unreachable,
    /// the connection said nothing for too long
    Silent,
    /// the connection ended too early
    Broken,
    /// the upstream knows no such stream
    Unknown,
    /// the upstream refused before it ran anything
    Refused,
    /// the upstream answered with this error status
    Status(u16),
    /// the answer could not be understood
    Garbled,
}

/// a failed call
#[apply(data!)]
pub struct Failure {
    /// what went wrong
    pub kind: Kind,
    /// whether the request may have run
    pub verdict: Verdict,
    /// sentence for logs
    pub detail: String,
}

impl Failure {
    /// a failure of this kind
    pub fn new(kind: Kind, verdict: Verdict, detail: impl Into<String>) -> Failure {
        Failure {
            kind,
            verdict,
            detail: detail.into(),
        }
    }

    /// reads an I/O error; `sent` tells whether the request had begun to leave
    pub(crate) fn from_io(error: &io::Error, sent: bool) -> Failure {
        let verdict = if sent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let kind = match error.kind() {
            _ if !sent => Kind::Unreachable,
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Kind::Silent,
            _ => Kind::Broken,
        };
        Failure::new(kind, verdict, error.to_string())
    }

    /// reads an error of the HTTP library
    pub(crate) fn from_http(error: &attohttpc::Error, sent: bool) -> Failure {
        match error.kind() {
            attohttpc::ErrorKind::Io(error) => Failure::from_io(error, sent),
            _ if !sent => Failure::new(Kind::Unreachable, Verdict::NotRun, error.to_string()),
            _ => Failure::new(Kind::Garbled, Verdict::MayHaveRun, error.to_string()),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Unreachable => "the upstream can't be reached",
            Kind::Silent => "the upstream went silent",
            Kind::Broken => "the connection to the upstream broke",
            Kind::Unknown => "the upstream doesn't know the stream",
            Kind::Refused => "the upstream refused the request before running it",
            Kind::Status(status) => {
                return write!(f, "the upstream answered {status}: {}", self.detail);
            }
            Kind::Garbled => "the upstream's answer can't be understood",
        };
        write!(f, "{what}: {}", self.detail)
    }
}

impl std::error::Error for Failure {}
