//! Errors as callers see them.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;
use schema::failure::{Body, Failure, Verdict};

/// a failed request, ready to be told to its caller
#[apply(data!)]
pub struct Fault {
    /// HTTP status
    pub status: u16,
    /// whether the request may have run
    pub verdict: Verdict,
    /// short name of the cause, for programs
    pub code: &'static str,
    /// sentence for people
    pub message: String,
    /// when to come back
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// a request that was refused before anything ran
    pub fn refused(status: u16, code: &'static str, message: impl Into<String>) -> Fault {
        let verdict = Verdict::NotRun;
        Fault {
            status,
            verdict,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// a request that may have run
    pub fn unsure(status: u16, code: &'static str, message: impl Into<String>) -> Fault {
        Fault {
            verdict: Verdict::MayHaveRun,
            ..Fault::refused(status, code, message)
        }
    }

    /// the same with the time to come back
    #[must_use]
    pub fn after(mut self, delay: Duration) -> Fault {
        self.retry_after = Some(delay);
        self
    }

    /// the same with another verdict
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Fault {
        self.verdict = verdict;
        self
    }

    /// the JSON body for the caller
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

    /// the body as JSON text
    pub fn json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }
}
