//! Classification of upstream failures for retries and for the error response.

use std::time::Duration;

use engine::{Failure, FailureKind};
use route::retry;
use schema::failure::Verdict;

use crate::fault::Fault;

/// retry delay for a caller after an upstream failure
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// the failure in the classes of the retry rules
pub(crate) fn retry_failure(failure: &Failure) -> retry::Failure {
    let kind = match failure.kind {
        FailureKind::Unreachable => retry::Kind::Unreachable,
        FailureKind::Silent => retry::Kind::TimedOut,
        FailureKind::Broken => retry::Kind::Disconnected,
        FailureKind::Refused => retry::Kind::Busy,
        FailureKind::Status(409 | 429) => retry::Kind::Busy,
        FailureKind::Status(400..=499) => retry::Kind::InvalidRequest,
        FailureKind::Unknown | FailureKind::Status(_) | FailureKind::Garbled => {
            retry::Kind::ServerError
        }
    };
    retry::Failure {
        kind,
        verdict: failure.verdict,
    }
}

/// error response when the request is not retried any more
pub(crate) fn fault(failure: &Failure, verdict: Verdict) -> Fault {
    let (status, code) = match failure.kind {
        FailureKind::Status(400..=499) => (400, "upstream_refused"),
        FailureKind::Silent => (504, "upstream_silent"),
        _ => (502, "upstream_failed"),
    };
    let fault = Fault::may_have_run(status, code, message(failure)).with_verdict(verdict);
    match status {
        400 => fault,
        _ => fault.with_retry_after(RETRY_AFTER),
    }
}

/// message for the caller; details for operators are in the spans
fn message(failure: &Failure) -> String {
    let message = match failure.kind {
        FailureKind::Unreachable => "The upstream can't be reached.",
        FailureKind::Silent => "The upstream did not answer in time.",
        FailureKind::Broken => "The connection to the upstream broke.",
        FailureKind::Unknown => "The upstream does not know the stream.",
        FailureKind::Refused => "The upstream refused the request before it ran.",
        FailureKind::Status(status) => {
            let detail = failure.detail.trim_end_matches('.');
            return format!("The upstream answered with status {status}: {detail}.");
        }
        FailureKind::Garbled => "The answer of the upstream can't be understood.",
    };
    message.to_owned()
}
