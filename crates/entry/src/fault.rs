//! Error responses to callers.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::failure::{Body, Failure, Verdict};

/// error response to a caller
#[apply(data!)]
pub struct Fault {
    /// HTTP status
    pub status: u16,
    /// whether the request may have run
    pub verdict: Verdict,
    /// machine-readable cause
    pub code: &'static str,
    /// message for people, a full sentence
    pub message: String,
    /// delay after which the caller may retry
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// an error of a request that did not run
    pub fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Fault {
        let verdict = Verdict::NotRun;
        Fault {
            status,
            verdict,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// an error of a request that may have run
    pub fn may_have_run(status: u16, code: &'static str, message: impl Into<String>) -> Fault {
        Fault {
            verdict: Verdict::MayHaveRun,
            ..Fault::not_run(status, code, message)
        }
    }

    /// the same error with a retry delay
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Fault {
        self.retry_after = Some(delay);
        self
    }

    /// the same error with another verdict
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Fault {
        self.verdict = verdict;
        self
    }

    /// body of the response
    pub fn body(&self) -> Body {
        let retry_after_ms = self.retry_after.map(|delay| delay.as_millis() as u64);
        Body {
            error: Failure {
                verdict: self.verdict,
                code: self.code.to_owned(),
                message: self.message.clone(),
                retry_after_ms,
            },
        }
    }

    /// body of the response as JSON
    pub fn json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }
}
