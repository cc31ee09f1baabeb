//! One attempt at one VM, and the attempts of a request so far.

use std::rc::Rc;
use std::time::Duration;

use http::response::Parts;
use http::uri::PathAndQuery;
use http::{Request as HttpRequest, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use route::place::{Outcome, Pick};
use route::retry::{Again, Failed, again};
use route::verdict::{self, Progress};
use schema::failure::Verdict;
use tokio::time::timeout_at;

use super::flight::Flight;
use super::request::Request;
use super::{Own, Reason};
use crate::model::Vm;
use crate::pool::{Fault, Lease, Limits};
use crate::seam::{Attempt, Dialect, Reply};
use crate::shared::Shared;

/// time to come back after a VM refused: about as long as one of its requests runs
const REFUSED_WAIT: Duration = Duration::from_millis(500);

/// the head of a VM's answer, and what its body comes on
pub(super) struct Answer<D: Dialect> {
    pub head: Parts,
    pub body: Incoming,
    pub lease: Lease,
    pub flight: Flight<D>,
}

/// the attempts of one request
pub(super) struct Tries {
    /// VMs that failed it
    pub avoid: Vec<String>,
    sent: u32,
    unsent: u32,
    verdict: Verdict,
    last: Reason,
}

/// a failed attempt
pub(super) struct Miss {
    pub progress: Progress,
    pub reason: Reason,
}

impl Tries {
    pub fn new() -> Tries {
        Tries {
            avoid: Vec::new(),
            sent: 0,
            unsent: 0,
            verdict: Verdict::NotRun,
            last: Reason::NoVm,
        }
    }

    /// VMs that were sent the request
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// notes a failed attempt and decides whether another may follow
    pub fn again<D: Dialect>(
        &mut self,
        shared: &Shared<D>,
        request: &Request,
        miss: &Miss,
    ) -> bool {
        match miss.progress {
            Progress::Unsent => self.unsent += 1,
            _ => self.sent += 1,
        }
        self.verdict = verdict::join(self.verdict, verdict::attempt(miss.progress));
        self.last = miss.reason;
        let failed = Failed {
            progress: miss.progress,
            repeatable: request.route.kind.is_repeatable(),
            sent: self.sent,
            unsent: self.unsent,
            attempts: request.route.attempts,
        };
        if request.left().is_zero() {
            return false;
        }
        match again(&failed) {
            Again::Free => true,
            Again::Allowed => shared.take_retry(&request.service),
            Again::Never => false,
        }
    }

    /// the answer when the request is given up on; `own` is why no further VM was chosen
    pub fn give_up(&self, request: &Request, own: Option<Own>) -> Own {
        let expired = request.left().is_zero();
        if self.verdict != Verdict::NotRun {
            let reason = if expired {
                Reason::Expired
            } else {
                Reason::Lost
            };
            return Own::new(reason);
        }
        if let Some(own) = own {
            return own;
        }
        if expired {
            return Own::new(Reason::ExpiredUnsent);
        }
        Own::after(self.last, REFUSED_WAIT)
    }
}

/// sends a request to a VM and waits for the head of its answer
pub(super) async fn send<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    pick: &Pick,
    resume_after: Option<&str>,
) -> Result<Answer<D>, Miss> {
    let mut flight = Flight::begin(shared, request, &vm.id, pick.uncached);
    let message = message(shared, request, vm, resume_after);
    let repeatable = request.route.kind.is_repeatable();
    let limits = Limits {
        reuse: if repeatable {
            Limits::REUSE
        } else {
            Limits::REUSE_UNREPEATABLE
        },
        ..Limits::default()
    };
    let sending = shared.pool.send(vm.address, message, limits);
    let exchange = match timeout_at(request.deadline, sending).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(fault)) => {
            flight.ended(Outcome::Broken);
            shared.pool.forget(vm.address);
            return Err(missed(shared, request, vm, &fault));
        }
        Err(_) => return Err(missed(shared, request, vm, &Fault::Silent)),
    };
    flight.heard();
    let (head, body) = exchange.response.into_parts();
    let (progress, reason, outcome) = match shared.dialect.reply(&request.call, &head) {
        Reply::Answer => {
            let lease = exchange.lease;
            return Ok(Answer {
                head,
                body,
                lease,
                flight,
            });
        }
        Reply::NotRun => (Progress::Refused, Reason::Refused, Outcome::Refused),
        Reply::OtherVm => {
            shared.drop_vm(&vm.id, "another VM answers at its address");
            (Progress::Refused, Reason::Refused, Outcome::Refused)
        }
        Reply::Invalid => (Progress::Sent, Reason::Lost, Outcome::Broken),
    };
    flight.ended(outcome);
    let status = head.status.as_u16();
    note_miss(
        shared,
        request,
        vm,
        reason,
        &format!("the VM answered {status}"),
    );
    Err(Miss { progress, reason })
}

/// the message to a VM
fn message<D: Dialect>(
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
        left: request.left(),
        urgency: request.urgency(),
        resume_after,
    };
    let headers = shared
        .dialect
        .attempt(&request.head, &request.call, &attempt);
    let mut message = HttpRequest::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    let path = request.head.uri.path_and_query().cloned();
    *message.uri_mut() = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    *message.headers_mut() = headers;
    message
}

fn missed<D: Dialect>(shared: &Shared<D>, request: &Request, vm: &Vm, fault: &Fault) -> Miss {
    let progress = fault.progress();
    let reason = match progress {
        Progress::Unsent => Reason::Unreachable,
        _ => Reason::Lost,
    };
    note_miss(shared, request, vm, reason, &fault.to_string());
    Miss { progress, reason }
}

/// logs and counts a failed attempt
pub(super) fn note_miss<D: Dialect>(
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
        left_ms = request.left().as_millis() as u64,
        left_out,
    );
}
