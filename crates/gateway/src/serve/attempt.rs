//! One attempt of a request at one VM, and the record of all its attempts.

use std::rc::Rc;
use std::time::Duration;

use http::response::Parts;
use http::uri::PathAndQuery;
use http::{Request as HttpRequest, Uri};
use http_body_util::Full;
use route::placement::{Outcome, Pick};
use route::retry::{self, Resend, may_resend};
use route::verdict::{self, Progress};
use schema::failure::Verdict;
use tokio::time::Instant;

use super::in_flight::InFlight;
use super::request::Request;
use super::{Failure, Reason};
use crate::adapter::{Attempt, Dialect, Notice, Reply};
use crate::model::{Call, Vm};
use crate::notices;
use crate::pool::{Body, Connection, Error, Exchange, Timeouts};
use crate::quarantine;
use crate::shared::Shared;

/// `Retry-After` when a VM refused the request: about the time a VM takes for a request
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// longest time for which a VM is left alone at its own request; a longer one is an error of the
/// VM, which would otherwise stay unused until it restarts
const MAX_BACK_OFF: Duration = Duration::from_secs(3600);

/// a VM's response whose body is still to be read
pub(super) struct VmResponse<D: Dialect> {
    pub head: Parts,
    pub body: Body,
    pub connection: Connection,
    pub in_flight: InFlight<D>,
}

/// where an attempt goes
pub(super) struct Sending<'a> {
    pub vm: &'a Vm,
    pub pick: &'a Pick,
    /// id of the last event that the caller has
    pub resume_after: Option<&'a str>,
    /// whether the request was sent to this VM before
    pub is_repeated: bool,
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

    /// whether a VM was chosen more than once
    pub fn is_repeated(&self, vm: &Vm) -> bool {
        let chosen = self.tried.iter().filter(|id| **id == vm.id);
        chosen.count() > 1
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
        if request.time_left().is_zero() || request.deadline.is_interrupted() {
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
        if request.deadline.is_interrupted() {
            return Failure::stopping();
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
    sending: &Sending<'_>,
) -> Result<VmResponse<D>, AttemptError> {
    let vm = sending.vm;
    let mut in_flight = InFlight::begin(
        shared,
        request,
        vm,
        sending.pick,
        sending.resume_after.is_some(),
    );
    let message = build_message(shared, request, sending);
    let exchange = match exchange(shared, request, sending, message).await {
        Ok(exchange) => exchange,
        Err(error) => {
            if !matches!(error, Error::Withdrawn | Error::TimedOut) {
                in_flight.set_outcome(Outcome::Broken);
                shared.pool.close_idle(vm.address);
            }
            return Err(record_connection_error(shared, request, vm, &error));
        }
    };
    in_flight.record_activity();
    let (head, body) = exchange.response.into_parts();
    let mut connection = exchange.connection;
    let reply = classify(shared, &request.call, &head, exchange.is_first);
    // other responses are not of this VM
    if matches!(reply, Reply::Valid | Reply::NotRun) {
        let notice = shared.dialect.notice(&head);
        if notice.is_draining {
            connection.retire();
        }
        apply_notice(shared, request, vm, &notice, reply == Reply::Valid);
    }
    let (progress, reason, outcome) = match reply {
        Reply::Valid => {
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

/// classifies a response; a refusal that may be one of an earlier request is invalid
fn classify<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    head: &Parts,
    is_first_on_connection: bool,
) -> Reply {
    let reply = shared.dialect.classify_response(call, head);
    let is_refusal = matches!(reply, Reply::NotRun | Reply::OtherVm);
    let states_id = shared.dialect.states_id(call, head);
    if is_refusal && !verdict::proves_not_run(is_first_on_connection, states_id) {
        return Reply::Invalid;
    }
    reply
}

/// sends a message to a VM and waits for the head of its response until the request's deadline
async fn exchange<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    sending: &Sending<'_>,
    message: HttpRequest<Full<bytes::Bytes>>,
) -> Result<Exchange, Error> {
    let vm = sending.vm;
    let timeouts = Timeouts {
        idle: if sending.is_repeated {
            // on a kept connection, a refusal of the first sending could not be told apart
            Duration::ZERO
        } else if request.route.kind.is_repeatable() {
            Timeouts::IDLE
        } else {
            Timeouts::IDLE_UNREPEATABLE
        },
        ..Timeouts::default()
    };
    let is_wanted = || {
        shared.accepts_requests(&request.service, &vm.id)
            && quarantine::refusal(shared, request.causes()).is_none()
    };
    let sending = shared.pool.send(vm.address, message, timeouts, is_wanted);
    match request.deadline.limit(sending).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut),
    }
}

/// applies what a VM states about itself in a response
fn apply_notice<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    vm: &Vm,
    stated: &Notice,
    has_run: bool,
) {
    let notice = Notice {
        back_off: stated.back_off.map(|time| time.min(MAX_BACK_OFF)),
        ..*stated
    };
    notices::record(shared, vm, &notice, has_run);
    if let Some(time) = notice.back_off {
        let until = Instant::now() + time;
        let mut placement = shared.placement.borrow_mut();
        placement.close_until(&request.service, &vm.id, until);
        drop(placement);
        if let Some(left_out) = shared.permit_log("vm_closed") {
            tracing::info!(
                event = "vm_closed",
                request = request.call.id,
                vm = vm.id,
                time_ms = time.as_millis() as u64,
                left_out,
            );
        }
    }
}

/// builds the request to a VM
fn build_message<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    sending: &Sending<'_>,
) -> HttpRequest<Full<bytes::Bytes>> {
    // a holder that is gone is left out: the VM prefills what it lacks
    let fetch = sending.pick.fetch.as_ref();
    let holder = fetch.and_then(|fetch| shared.vms.borrow().get(&fetch.from).cloned());
    let placement = shared.placement.borrow();
    let prefill = placement.prefill_time(&request.service, sending.pick.uncached);
    drop(placement);
    let attempt = Attempt {
        instance: &sending.vm.id,
        workspace: request
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str()),
        time_left: request.time_left(),
        urgency: request.urgency(prefill),
        resume_after: sending.resume_after,
        fetch_from: holder.map(|holder| holder.address),
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
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    error: &Error,
) -> AttemptError {
    match error {
        Error::Connect(_) => {
            let mut placement = shared.placement.borrow_mut();
            placement.record_unreachable(&request.service, &vm.id, Instant::now());
        }
        Error::Lost(_) => quarantine::record_broken(shared, request, vm, None),
        _ => {}
    }
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
        fingerprint = format!("{:x}", request.fingerprint),
        parts = request.call.shared_parts_text(),
        after_ms = request.arrived.elapsed().as_millis() as u64,
        left_ms = request.time_left().as_millis() as u64,
        left_out,
    );
}
