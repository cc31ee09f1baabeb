//! One attempt of a request at one VM, and the record of all its attempts.

use std::rc::Rc;
use std::time::Duration;

use http::response::Parts;
use http::uri::PathAndQuery;
use http::{Request as HttpRequest, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use route::placement::{Outcome, Pick};
use route::retry::{self, Resend, may_resend};
use route::verdict::{self, Progress};
use schema::failure::Verdict;
use tokio::time::timeout_at;

use super::in_flight::InFlight;
use super::request::Request;
use super::{Failure, Reason};
use crate::adapter::{Attempt, Dialect, Reply};
use crate::model::Vm;
use crate::pool::{Connection, Error, Timeouts};
use crate::shared::Shared;

/// `Retry-After` when a VM refused the request: about the time a VM takes for a request
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// a VM's response whose body is still to be read
pub(super) struct VmResponse<D: Dialect> {
    pub head: Parts,
    pub body: Incoming,
    pub connection: Connection,
    pub in_flight: InFlight<D>,
}

/// record of the failed attempts of one request
pub(super) struct Attempts {
    /// ids of the VMs that were chosen; they are not chosen again
    pub tried: Vec<String>,
    sent: u32,
    unsent: u32,
    verdict: Verdict,
    last_reason: Reason,
}

/// how far a failed attempt got, and why it failed
pub(super) struct AttemptError {
    pub progress: Progress,
    pub reason: Reason,
}

impl Attempts {
    pub fn new() -> Attempts {
        Attempts {
            tried: Vec::new(),
            sent: 0,
            unsent: 0,
            verdict: Verdict::NotRun,
            last_reason: Reason::NoVm,
        }
    }

    /// number of failed attempts in which a VM may have received the request
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// records a failed attempt and decides whether another may follow
    pub fn may_retry<D: Dialect>(
        &mut self,
        shared: &Shared<D>,
        request: &Request,
        error: &AttemptError,
    ) -> bool {
        match error.progress {
            Progress::Unsent => self.unsent += 1,
            _ => self.sent += 1,
        }
        self.verdict = verdict::join(self.verdict, verdict::attempt(error.progress));
        self.last_reason = error.reason;
        let failed = retry::FailedAttempt {
            progress: error.progress,
            repeatable: request.route.kind.is_repeatable(),
            sent: self.sent,
            unsent: self.unsent,
            max_sent: request.route.attempts,
        };
        if request.time_left().is_zero() {
            return false;
        }
        match may_resend(&failed) {
            Resend::Free => true,
            Resend::IfAllowance => shared.take_retry(&request.service),
            Resend::Never => false,
        }
    }

    /// the failure to return when no further attempt follows; `choice_failure` says why no VM
    /// was chosen
    pub fn final_failure(&self, request: &Request, choice_failure: Option<Failure>) -> Failure {
        let is_expired = request.time_left().is_zero();
        if self.verdict != Verdict::NotRun {
            let reason = if is_expired {
                Reason::Expired
            } else {
                Reason::Lost
            };
            return Failure::new(reason);
        }
        if let Some(failure) = choice_failure {
            return failure;
        }
        if is_expired {
            return Failure::new(Reason::ExpiredUnsent);
        }
        Failure::with_retry_after(self.last_reason, REFUSED_RETRY_AFTER)
    }
}

/// sends a request to a VM and waits for the head of its response
pub(super) async fn send<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    pick: &Pick,
    resume_after: Option<&str>,
) -> Result<VmResponse<D>, AttemptError> {
    let mut in_flight = InFlight::begin(shared, request, &vm.id, pick.uncached);
    let message = build_message(shared, request, vm, resume_after);
    let repeatable = request.route.kind.is_repeatable();
    let timeouts = Timeouts {
        idle: if repeatable {
            Timeouts::IDLE
        } else {
            Timeouts::IDLE_UNREPEATABLE
        },
        ..Timeouts::default()
    };
    let sending = shared.pool.send(vm.address, message, timeouts);
    let exchange = match timeout_at(request.deadline, sending).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => {
            in_flight.set_outcome(Outcome::Broken);
            shared.pool.close_idle(vm.address);
            return Err(record_connection_error(shared, request, vm, &error));
        }
        Err(_) => {
            return Err(record_connection_error(
                shared,
                request,
                vm,
                &Error::TimedOut,
            ));
        }
    };
    in_flight.record_activity();
    let (head, body) = exchange.response.into_parts();
    let (progress, reason, outcome) = match shared.dialect.classify_response(&request.call, &head) {
        Reply::Valid => {
            let connection = exchange.connection;
            return Ok(VmResponse {
                head,
                body,
                connection,
                in_flight,
            });
        }
        Reply::NotRun => (Progress::Refused, Reason::Refused, Outcome::Refused),
        Reply::OtherVm => {
            shared.drop_vm(&vm.id, "another VM responds at its address");
            (Progress::Refused, Reason::Refused, Outcome::Refused)
        }
        Reply::Invalid => (Progress::Sent, Reason::Lost, Outcome::Broken),
    };
    in_flight.set_outcome(outcome);
    let status = head.status.as_u16();
    record_failed_attempt(
        shared,
        request,
        vm,
        reason,
        &format!("the VM responded with status {status}"),
    );
    Err(AttemptError { progress, reason })
}

/// builds the request to a VM
fn build_message<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    vm: &Vm,
    resume_after: Option<&str>,
) -> HttpRequest<Full<bytes::Bytes>> {
    let attempt = Attempt {
        instance: &vm.id,
        workspace: request
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str()),
        time_left: request.time_left(),
        urgency: request.urgency(),
        resume_after,
    };
    let headers = shared
        .dialect
        .request_headers(&request.head, &request.call, &attempt);
    let mut message = HttpRequest::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    let path = request.head.uri.path_and_query().cloned();
    *message.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    *message.headers_mut() = headers;
    message
}

/// records an attempt that failed on its connection
fn record_connection_error<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    vm: &Vm,
    error: &Error,
) -> AttemptError {
    let progress = error.progress();
    let reason = match progress {
        Progress::Unsent => Reason::Unreachable,
        _ => Reason::Lost,
    };
    record_failed_attempt(shared, request, vm, reason, &error.to_string());
    AttemptError { progress, reason }
}

/// logs a failed attempt and counts it in the metrics
pub(super) fn record_failed_attempt<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    vm: &Vm,
    reason: Reason,
    cause: &str,
) {
    let attempts = &shared.metrics.attempts;
    attempts
        .with_label_values(&[request.service.as_str(), reason.name()])
        .inc();
    let Some(left_out) = shared.permit_log("attempt") else {
        return;
    };
    tracing::info!(
        event = "attempt_failed",
        request = request.call.id,
        vm = vm.id,
        address = %vm.address,
        outcome = reason.name(),
        cause,
        after_ms = request.arrived.elapsed().as_millis() as u64,
        left_ms = request.time_left().as_millis() as u64,
        left_out,
    );
}
