use std::time::Duration;

use bytes::Bytes;
use route::placement::Outcome;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, timeout_at};

use super::attempt::{Sending, record_failed_attempt, send};
use super::stream::{Stream, lost_attempt};
use super::vm_stream::{Next, VmStream};
use super::{Chunk, Reason};
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::quarantine;

/// time without an event that has data after which a stream is resumed at another VM; callers abandon a
/// stream after two seconds or more
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// events up to this size are not charged; few of them wait for a caller
const FREE_BYTES: usize = 512;

/// passes a stream on to the caller and resumes it at other VMs
pub(super) struct Relay<D: Dialect> {
    stream: Stream<D>,
    sender: Sender<Chunk>,
}

/// why passing on a stream ended
enum StreamEnd {
    /// the stream is complete
    Complete(Bytes),
    /// the caller closed its connection
    Cancelled,
    /// the deadline of the request passed
    Expired,
    /// the stream failed at its VM
    Failed(String),
}

impl<D: Dialect> Relay<D> {
    /// creates a relay of a stream to the sender of a response body
    pub fn new(stream: Stream<D>, sender: Sender<Chunk>) -> Relay<D> {
        Relay { stream, sender }
    }

    /// passes the stream on until it ends, resuming it where that is allowed
    pub async fn run(mut self, first: Bytes, vm_stream: VmStream<D>) {
        if !self.send(first).await {
            return;
        }
        let mut vm_stream = vm_stream;
        vm_stream.is_passed_on = true;
        loop {
            let end = self.forward(&mut vm_stream).await;
            let cause = match end {
                StreamEnd::Complete(rest) => {
                    vm_stream.log_end(&self.stream.shared, &self.stream.request, &rest);
                    vm_stream.in_flight.set_outcome(Outcome::Answered);
                    vm_stream.record_success(&self.stream.shared, &self.stream.request);
                    vm_stream.connection.release();
                    self.finish(rest).await;
                    return;
                }
                StreamEnd::Cancelled => {
                    self.log(
                        "caller_left",
                        &vm_stream.vm,
                        "the caller closed its connection",
                    );
                    return;
                }
                StreamEnd::Expired => {
                    self.log("stream_cut", &vm_stream.vm, "deadline exceeded");
                    return;
                }
                StreamEnd::Failed(cause) => cause,
            };
            vm_stream.in_flight.set_outcome(Outcome::Broken);
            quarantine::record_broken(
                &self.stream.shared,
                &self.stream.request,
                &vm_stream.vm,
                vm_stream.first_event,
            );
            record_failed_attempt(
                &self.stream.shared,
                &self.stream.request,
                &vm_stream.vm,
                Reason::Lost,
                &cause,
            );
            drop(vm_stream);
            match self.resume().await {
                Some(next) => vm_stream = next,
                None => return,
            }
        }
    }

    /// passes on events from one VM until the stream ends
    async fn forward(&mut self, vm_stream: &mut VmStream<D>) -> StreamEnd {
        let mut idle_since = Instant::now();
        let deadline = self.stream.request.deadline.timeout_at();
        loop {
            let now = Instant::now();
            if now >= deadline {
                return StreamEnd::Expired;
            }
            // without the right to resume, the stream may go on until the deadline
            let idle_until = if self.may_resume() {
                idle_since + IDLE_TIMEOUT
            } else {
                now + IDLE_TIMEOUT
            };
            let limit = deadline.min(idle_until);
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::Cancelled,
                next = timeout_at(limit, vm_stream.next(&mut self.stream.events)) => next,
            };
            match next {
                Ok(Ok(Next::Events(bytes, has_data))) => {
                    if !vm_stream.is_passed_on && !self.is_at_origin(vm_stream).await {
                        let cause = "the VM may have restarted with another version";
                        return StreamEnd::Failed(cause.to_owned());
                    }
                    vm_stream.is_passed_on = true;
                    if has_data && self.stream.request.origin.is_none() {
                        let opened_at = vm_stream.opened_at();
                        self.stream.record_origin(&vm_stream.vm, opened_at);
                    }
                    match timeout_at(deadline, self.send(bytes)).await {
                        Ok(true) => {}
                        Ok(false) => return StreamEnd::Cancelled,
                        Err(_) => return StreamEnd::Expired,
                    }
                    if has_data {
                        idle_since = Instant::now();
                    }
                    if vm_stream.is_past_begin() {
                        vm_stream.record_success(&self.stream.shared, &self.stream.request);
                    }
                }
                Ok(Ok(Next::End(rest))) => return StreamEnd::Complete(rest),
                Ok(Err(cause)) => return StreamEnd::Failed(cause),
                Err(_) if self.may_resume() => {
                    return StreamEnd::Failed(
                        "no event before the idle time-out or the deadline".to_owned(),
                    );
                }
                Err(_) => {}
            }
        }
    }

    /// passes bytes on once there is memory for them; whether the caller is still there
    async fn send(&self, bytes: Bytes) -> bool {
        let bytes = if bytes.len() > FREE_BYTES {
            let Ok(charge) = self.stream.request.hold.charge(bytes.len()).await else {
                return false;
            };
            charge.attach(bytes)
        } else {
            bytes
        };
        self.sender.send(Chunk::Bytes(bytes)).await.is_ok()
    }

    async fn is_at_origin(&self, vm_stream: &VmStream<D>) -> bool {
        let opened_at = vm_stream.opened_at();
        self.stream.is_at_origin(&vm_stream.vm, opened_at).await
    }

    fn may_resume(&self) -> bool {
        self.stream.request.route.kind.is_repeatable()
            && self.stream.attempts.sent() + 1 < self.stream.request.route.attempts
    }

    /// resumes the stream at another VM after the last event that was passed on
    async fn resume(&mut self) -> Option<VmStream<D>> {
        self.stream.events.discard();
        let mut attempt_error = lost_attempt();
        loop {
            let Stream {
                shared,
                request,
                attempts,
                ..
            } = &mut self.stream;
            if !attempts.may_retry(shared, request, &attempt_error) {
                return None;
            }
            if !shared.is_origin_certain(request) {
                return None;
            }
            let last_id = self.stream.events.last_id().map(str::to_owned);
            let (vm, pick) = self.stream.choose().ok()?;
            let sending = Sending {
                vm: &vm,
                pick: &pick,
                resume_after: last_id.as_deref(),
                is_repeated: self.stream.attempts.is_repeated(&vm),
            };
            let sending = send(&self.stream.shared, &self.stream.request, &sending);
            let sent = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                sent = sending => sent,
            };
            attempt_error = match sent {
                Ok(vm_response) if vm_response.head.status.is_success() => {
                    self.log("stream_resumed", &vm, last_id.as_deref().unwrap_or(""));
                    let (_, vm_stream) = VmStream::new(&vm, vm_response);
                    return Some(vm_stream);
                }
                Ok(_) => lost_attempt(),
                Err(attempt_error) => attempt_error,
            };
        }
    }

    async fn finish(self, rest: Bytes) {
        if !rest.is_empty() && self.sender.send(Chunk::Bytes(rest)).await.is_err() {
            return;
        }
        // the caller may have closed its connection after the last bytes
        let _ = self.sender.send(Chunk::End).await;
    }

    fn log(&self, event: &'static str, vm: &Vm, cause: &str) {
        let Some(left_out) = self.stream.shared.permit_log(event) else {
            return;
        };
        tracing::info!(
            event,
            request = self.stream.request.call.id,
            vm = vm.id,
            version = vm.version,
            cause,
            after_ms = self.stream.request.arrived.elapsed().as_millis() as u64,
            left_out,
        );
    }
}
