use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use macro_rules_attribute::apply;
use schema::value;

use super::Body;

/// why the gateway answers a request by itself
#[apply(value!)]
pub enum Reason {
    /// no configuration has been read yet
    NotStarted,
    /// the configuration is too old to trust keys
    ConfigStale,
    /// the configuration lacks this, but may be out of date
    ConfigBehind,
    /// no route matches
    NoRoute,
    /// the key is unknown or missing
    BadKey,
    /// the workspace's limit is spent
    OverLimit,
    /// the head can't be read
    BadHead,
    /// the body is longer than allowed
    BodyTooLong,
    /// the body did not come in time or was cut off
    BodyLost,
    /// there is no VM
    NoVm,
    /// no VM has room in time
    Full,
    /// a VM refused it, and it may be sent to no other
    Refused,
    /// no VM could be reached
    Unreachable,
    /// it may have run, its answer is lost
    Lost,
    /// its time is up before it was sent
    ExpiredUnsent,
    /// its time is up after it was sent
    Expired,
}

impl Reason {
    /// the status that says this
    pub fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::BadKey => StatusCode::UNAUTHORIZED,
            Reason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Reason::BadHead => StatusCode::BAD_REQUEST,
            Reason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyLost => StatusCode::REQUEST_TIMEOUT,
            Reason::Lost => StatusCode::BAD_GATEWAY,
            Reason::Expired => StatusCode::GATEWAY_TIMEOUT,
            Reason::NotStarted
            | Reason::ConfigStale
            | Reason::ConfigBehind
            | Reason::NoVm
            | Reason::Full
            | Reason::Refused
            | Reason::Unreachable
            | Reason::ExpiredUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// its name in logs and metrics
    pub fn name(self) -> &'static str {
        match self {
            Reason::NotStarted => "not_started",
            Reason::ConfigStale => "config_stale",
            Reason::ConfigBehind => "config_behind",
            Reason::NoRoute => "no_route",
            Reason::BadKey => "bad_key",
            Reason::OverLimit => "over_limit",
            Reason::BadHead => "bad_head",
            Reason::BodyTooLong => "body_too_long",
            Reason::BodyLost => "body_lost",
            Reason::NoVm => "no_vm",
            Reason::Full => "full",
            Reason::Refused => "refused",
            Reason::Unreachable => "unreachable",
            Reason::Lost => "lost",
            Reason::ExpiredUnsent => "expired_unsent",
            Reason::Expired => "expired",
        }
    }

    /// whether the answer states that the request did not run and never will
    pub fn states_not_run(self) -> bool {
        matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
        )
    }
}

/// an answer of the gateway's own
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// why
    pub reason: Reason,
    /// when the caller may come back
    pub retry_after: Option<Duration>,
}

impl Own {
    /// an answer without a time to come back
    pub fn new(reason: Reason) -> Own {
        Own {
            reason,
            retry_after: None,
        }
    }

    /// an answer with a time to come back
    pub fn after(reason: Reason, wait: Duration) -> Own {
        Own {
            reason,
            retry_after: Some(wait),
        }
    }

    /// the message to the caller
    pub fn response(&self) -> Response<Body> {
        let text = format!("{}\n", self.reason.name());
        let mut response = Response::new(Body::whole(Bytes::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
