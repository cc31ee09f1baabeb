//! Refusals of requests before they are sent to an upstream.

use std::fmt;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::failure::{Failure, Verdict};
use schema::value;

/// why a request was refused
#[apply(value!)]
pub enum Reason {
    /// no such service is declared
    UnknownService,
    /// no such workspace is declared
    UnknownWorkspace,
    /// the service has no VM that accepts requests
    NoUpstream,
    /// the estimated wait exceeds the request's deadline
    Deadline,
    /// the service is overloaded and the request's priority is too low
    Overload,
    /// the active preset admits higher priorities only
    Preset,
    /// the workspace is over its limit of tokens per second
    TokenLimit,
    /// the workspace is at its limit of requests in flight
    ConcurrencyLimit,
}

/// refusal of a request, which did not run
#[apply(value!)]
pub struct Refusal {
    /// why the request was refused
    pub reason: Reason,
    /// delay after which to retry; none if a retry would not help
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// returns the machine-readable code
    pub fn code(self) -> &'static str {
        match self {
            Reason::UnknownService => "unknown_service",
            Reason::UnknownWorkspace => "unknown_workspace",
            Reason::NoUpstream => "no_upstream",
            Reason::Deadline => "deadline",
            Reason::Overload => "overload",
            Reason::Preset => "preset",
            Reason::TokenLimit => "token_limit",
            Reason::ConcurrencyLimit => "concurrency_limit",
        }
    }

    /// returns the human-readable message
    pub fn message(self) -> &'static str {
        match self {
            Reason::UnknownService => "The service is not declared.",
            Reason::UnknownWorkspace => "The workspace is not declared.",
            Reason::NoUpstream => "No VM of the service can take the request.",
            Reason::Deadline => "The request would wait past its deadline.",
            Reason::Overload => "The service is overloaded.",
            Reason::Preset => "The preset in force admits higher priorities only.",
            Reason::TokenLimit => "The workspace is over its limit of tokens per second.",
            Reason::ConcurrencyLimit => "The workspace is over its limit of requests in flight.",
        }
    }
}

impl Refusal {
    /// returns a refusal without a retry delay
    pub fn new(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    /// returns a refusal with a retry delay
    pub fn after(reason: Reason, wait: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: Some(wait),
        }
    }

    /// returns the verdict for the caller, which is always that the request did not run
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// returns the body of the error response
    pub fn failure(&self) -> Failure {
        Failure {
            code: self.reason.code().to_owned(),
            message: self.reason.message().to_owned(),
            retry_after_ms: self.retry_after.map(millis),
            verdict: self.verdict(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason.message())
    }
}

impl std::error::Error for Refusal {}

/// returns whole milliseconds, rounded up
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
