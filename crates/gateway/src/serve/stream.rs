//! Event streams, passed on event by event and resumed at another VM if they fail.
//!
//! The response head is sent with the first event, so that until then another VM can take over
//! without the caller noticing. After that only complete events are passed on; a resumable
//! stream that fails continues after the last of them, under the head of its first VM.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use route::origin::{Certainty, Origin, stream_id};
use route::placement::{Outcome, Pick, TimeLimit};
use route::verdict::Progress;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::admission;
use super::attempt::{AttemptError, Attempts, Sending, VmResponse, record_failed_attempt, send};
use super::choose::choose;
use super::events::EventBuffer;
use super::plain::{build_response, count_usage, record_response};
use super::relay::Relay;
use super::request::Request;
use super::vm_stream::{Next, VmStream};
use super::{Body, Failure, Reason};
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::origin::Unconfirmed;
use crate::quarantine;
use crate::shared::Shared;

/// chunks of a stream that wait to be sent to the caller
const CHANNEL_CAPACITY: usize = 16;

/// maximum size of a response without events, such as an error, that is passed on
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// a response of which the first event or the end was received
enum Opened<D: Dialect> {
    /// head, first events and the rest of the stream
    Stream(Parts, Bytes, Box<VmStream<D>>),
    /// a complete response
    Buffered(Response<Body>),
}

/// a request for a stream and its attempts so far
pub(super) struct Stream<D: Dialect> {
    pub shared: Rc<Shared<D>>,
    pub request: Request,
    pub attempts: Attempts,
    pub events: EventBuffer,
}

/// serves a request of a stream service
pub(super) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
) -> Result<Response<Body>, Failure> {
    let mut stream = Stream {
        shared: Rc::clone(shared),
        request,
        attempts: Attempts::new(),
        events: EventBuffer::new(),
    };
    loop {
        let (vm, pick) = match stream.choose() {
            Ok(chosen) => chosen,
            Err(failure) => {
                return Err(stream
                    .attempts
                    .final_failure(&stream.request, Some(failure)));
            }
        };
        let attempt_error = match stream.open(&vm, &pick).await {
            Ok(Opened::Buffered(response)) => return Ok(response),
            Ok(Opened::Stream(head, first, vm_stream)) => {
                count_usage(shared, &stream.request);
                admission::record_response(shared, &stream.request, pick.uncached);
                let took = stream.request.arrived.elapsed();
                record_response(shared, &stream.request, &vm, &head, took);
                return Ok(stream.relay(&head, first, *vm_stream));
            }
            Err(attempt_error) => attempt_error,
        };
        stream.events.discard();
        if !stream
            .attempts
            .may_retry(shared, &stream.request, &attempt_error)
        {
            return Err(stream.attempts.final_failure(&stream.request, None));
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// whether a stream began at the version that was recorded for it, as far as is known now
    pub(super) fn is_origin_certain(&self, request: &Request) -> bool {
        let Some(origin) = &request.origin else {
            return true;
        };
        let known = self.known_origin(stream_id(request.first_attempt()));
        known.as_ref() == Some(origin)
    }
}

impl<D: Dialect> Stream<D> {
    /// chooses a VM and excludes it from further choices for the request
    pub fn choose(&mut self) -> Result<(Rc<Vm>, Pick), Failure> {
        let Stream {
            shared,
            request,
            attempts,
            ..
        } = self;
        let limit = if attempts.sent() == 0 {
            admission::limit(shared, request)
        } else {
            TimeLimit::total(request.time_left())
        };
        choose(shared, request, attempts, limit)
    }

    /// sends the request and waits for its first event
    async fn open(&mut self, vm: &Rc<Vm>, pick: &Pick) -> Result<Opened<D>, AttemptError> {
        let (shared, request) = (&self.shared, &self.request);
        let sending = Sending {
            vm,
            pick,
            resume_after: request.call.resume_after.as_deref(),
            is_repeated: self.attempts.is_repeated(vm),
        };
        let vm_response = send(shared, request, &sending).await?;
        if !vm_response.head.status.is_success() {
            return pass_on_buffered(shared, request, vm, vm_response).await;
        }
        let (head, mut vm_stream) = VmStream::new(vm, vm_response);
        let next = request.deadline.limit(vm_stream.next(&mut self.events));
        let next = next.await;
        match next {
            Ok(Ok(Next::Events(first, has_data))) => {
                if !self.is_at_origin(vm, vm_stream.opened_at()).await {
                    vm_stream.in_flight.set_outcome(Outcome::Broken);
                    let cause = "the VM may have restarted with another version";
                    record_failed_attempt(&self.shared, &self.request, vm, Reason::Lost, cause);
                    return Err(lost_attempt());
                }
                if has_data {
                    self.record_origin(vm, vm_stream.opened_at());
                }
                vm_stream.in_flight.record_first_token();
                Ok(Opened::Stream(head, first, Box::new(vm_stream)))
            }
            Ok(Ok(Next::End(rest))) => {
                vm_stream.log_end(shared, request, &rest);
                vm_stream.in_flight.set_outcome(Outcome::Answered);
                vm_stream.connection.release();
                record_response(shared, request, vm, &head, request.arrived.elapsed());
                Ok(Opened::Buffered(build_response(
                    shared,
                    &head,
                    Body::buffered(rest),
                )))
            }
            Ok(Err(cause)) => {
                vm_stream.in_flight.set_outcome(Outcome::Broken);
                quarantine::record_broken(shared, request, vm, None);
                record_failed_attempt(shared, request, vm, Reason::Lost, &cause);
                Err(lost_attempt())
            }
            Err(_) => {
                record_failed_attempt(
                    shared,
                    request,
                    vm,
                    Reason::Expired,
                    "no event before the deadline",
                );
                Err(lost_attempt())
            }
        }
    }

    /// whether the process that sends events over a connection has the version at which the stream
    /// began
    pub async fn is_at_origin(&self, vm: &Vm, opened_at: Instant) -> bool {
        let Some(origin) = &self.request.origin else {
            return true;
        };
        self.is_listed_at(vm, origin)
            && self.shared.is_listed_process(vm, opened_at).await
            && self.is_listed_at(vm, origin)
    }

    /// whether a VM has a version by the latest list
    fn is_listed_at(&self, vm: &Vm, origin: &Origin) -> bool {
        let vms = self.shared.vms.borrow();
        let listed = vms.get(&vm.id);
        listed.is_none_or(|vm| vm.version == origin.version)
    }

    /// records that the stream began at a VM, or goes on at its version
    ///
    /// Without a record if the VM's entry has changed since it was chosen, as either version may be right,
    /// or if it can't be known that it is the entry of this process.
    pub fn record_origin(&mut self, vm: &Rc<Vm>, opened_at: Instant) {
        let resumed = self.request.origin.clone();
        let origin = resumed.clone().unwrap_or_else(|| vm.origin());
        self.request.origin = Some(origin.clone());
        if !self.is_listed_at(vm, &origin) {
            return;
        }
        let (shared, request) = (&self.shared, &self.request);
        let first_attempt = request.first_attempt().to_owned();
        let left = request.caller_time_left();
        let certainty = match resumed {
            Some(_) => Certainty::Certain,
            None => shared.certainty(opened_at),
        };
        if certainty != Certainty::Unknown {
            shared.record_origin(&first_attempt, &origin, vm, left);
        }
        if certainty == Certainty::Certain {
            return;
        }
        let unconfirmed = Unconfirmed {
            id: stream_id(&first_attempt),
            vm: Rc::clone(vm),
            opened_at,
        };
        let shared = Rc::clone(shared);
        spawn_local(async move {
            match (unconfirmed.confirm(&shared).await, certainty) {
                (true, Certainty::Unknown) => {
                    shared.record_origin(&first_attempt, &origin, &unconfirmed.vm, left);
                }
                (false, Certainty::Pending) => shared.doubt_origin(unconfirmed.id),
                _ => {}
            }
        });
    }

    /// spawns a task that passes the stream on
    fn relay(self, head: &Parts, first: Bytes, vm_stream: VmStream<D>) -> Response<Body> {
        let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
        let response = build_response(&self.shared, head, Body::streamed(chunks));
        spawn_local(Relay::new(self, sender).run(first, vm_stream));
        response
    }
}

/// passes on a response that is not a stream, such as an error of the VM
async fn pass_on_buffered<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    vm_response: VmResponse<D>,
) -> Result<Opened<D>, AttemptError> {
    let VmResponse {
        head,
        body,
        connection,
        mut in_flight,
    } = vm_response;
    let is_server_error = head.status.is_server_error();
    in_flight.set_outcome(if is_server_error {
        Outcome::Failed
    } else {
        Outcome::Answered
    });
    let reading = http_body_util::Limited::new(body, MAX_BUFFERED_BYTES).collect();
    let bytes = match request.deadline.limit(reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            in_flight.set_outcome(Outcome::Broken);
            quarantine::record_broken(shared, request, vm, None);
            record_failed_attempt(shared, request, vm, Reason::Lost, &error.to_string());
            return Err(lost_attempt());
        }
        Err(_) => return Err(lost_attempt()),
    };
    connection.release();
    record_response(shared, request, vm, &head, request.arrived.elapsed());
    // a server error that the VM itself sends means that it ran the request
    if is_server_error {
        count_usage(shared, request);
    }
    Ok(Opened::Buffered(build_response(
        shared,
        &head,
        Body::buffered(bytes),
    )))
}

/// a failed attempt whose request may have run
pub(super) fn lost_attempt() -> AttemptError {
    AttemptError {
        progress: Progress::Sent,
        reason: Reason::Lost,
    }
}
