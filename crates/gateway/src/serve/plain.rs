//! Requests with short responses, which are buffered completely before they are passed on.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use route::placement::{Outcome, TimeLimit};
use route::verdict::Progress;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::admission;
use super::attempt::{AttemptError, Attempts, Sending, VmResponse, record_failed_attempt, send};
use super::choose::choose;
use super::request::Request;
use super::{Body, Chunk, Failure, Reason};
use crate::adapter::Dialect;
use crate::model::{Kind, Vm};
use crate::pool::Connection;
use crate::quarantine;
use crate::shared::Shared;

/// responses up to this size are buffered, so that a truncated one can still be replaced
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// chunks of a long response that wait to be sent to the caller
const CHANNEL_CAPACITY: usize = 4;

/// body of a response, read up to [`MAX_BUFFERED_BYTES`]
enum ReadBody {
    /// the complete body
    Buffered(Bytes),
    /// the beginning of a longer body
    Partial(BytesMut),
}

/// serves a request of a plain service
pub(super) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::new();
    let mut fallback: Option<Response<Body>> = None;
    loop {
        let time_limit = if attempts.sent() == 0 {
            admission::limit(shared, &request)
        } else {
            TimeLimit::total(request.time_left())
        };
        let (vm, pick) = match choose(shared, &request, &mut attempts, time_limit) {
            Ok(chosen) => chosen,
            Err(failure) => {
                return fallback.ok_or_else(|| attempts.final_failure(&request, Some(failure)));
            }
        };
        let sent_at = Instant::now();
        let sending = Sending {
            vm: &vm,
            pick: &pick,
            resume_after: None,
            is_repeated: attempts.is_repeated(&vm),
        };
        let attempt_error = match send(shared, &request, &sending).await {
            Ok(vm_response) => {
                match read_response(shared, &request, &vm, vm_response, sent_at).await {
                    Ok(response) if !is_replaceable(&request, &response) => {
                        admission::record_response(shared, &request, pick.uncached);
                        return Ok(response);
                    }
                    Ok(response) => {
                        fallback = Some(response);
                        AttemptError {
                            progress: Progress::Answered,
                            reason: Reason::Lost,
                        }
                    }
                    Err(attempt_error) => attempt_error,
                }
            }
            Err(attempt_error) => attempt_error,
        };
        if !attempts.may_retry(shared, &request, &attempt_error) {
            return fallback.ok_or_else(|| attempts.final_failure(&request, None));
        }
    }
}

/// whether the request may be sent to another VM in place of this response
fn is_replaceable(request: &Request, response: &Response<Body>) -> bool {
    request.route.kind == Kind::Safe && response.status().is_server_error()
}

/// reads the body of a VM response and builds the response to the caller
async fn read_response<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    vm_response: VmResponse<D>,
    sent_at: Instant,
) -> Result<Response<Body>, AttemptError> {
    let VmResponse {
        head,
        mut body,
        connection,
        mut in_flight,
    } = vm_response;
    let reading = buffer(&mut body);
    let read = match request.deadline.limit(reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(cause)) => {
            in_flight.set_outcome(Outcome::Broken);
            quarantine::record_broken(shared, request, vm, None);
            record_failed_attempt(shared, request, vm, Reason::Lost, &cause);
            return Err(lost_attempt());
        }
        Err(_) => {
            record_failed_attempt(
                shared,
                request,
                vm,
                Reason::Expired,
                "response body not complete at the deadline",
            );
            return Err(lost_attempt());
        }
    };
    let is_server_error = head.status.is_server_error();
    in_flight.set_outcome(if is_server_error {
        Outcome::Failed
    } else {
        Outcome::Answered
    });
    in_flight.set_latency(sent_at.elapsed());
    quarantine::record_success(shared, request, Instant::now());
    record_response(shared, request, vm, &head, sent_at.elapsed());
    count_usage(shared, request);
    let body = match read {
        ReadBody::Buffered(bytes) => {
            connection.release();
            Body::buffered(bytes)
        }
        ReadBody::Partial(start) => {
            stream_body(start, body, connection, request.deadline.timeout_at())
        }
    };
    Ok(build_response(shared, &head, body))
}

/// a failed attempt whose request may have run
fn lost_attempt() -> AttemptError {
    AttemptError {
        progress: Progress::Sent,
        reason: Reason::Lost,
    }
}

/// counts a request that a VM began to run in the usage of its workspace
pub(super) fn count_usage<D: Dialect>(shared: &Shared<D>, request: &Request) {
    if let Some(workspace) = &request.workspace {
        let mut tally = shared.tally.borrow_mut();
        tally.count(&workspace.name, shared.wall_clock.now());
    }
}

/// builds the response to the caller
pub(super) fn build_response<D: Dialect>(
    shared: &Shared<D>,
    head: &Parts,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = shared.dialect.response_headers(head);
    response
}

/// reads a body up to [`MAX_BUFFERED_BYTES`]
async fn buffer(body: &mut Incoming) -> Result<ReadBody, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| crate::pool::describe(&error))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadBody::Partial(bytes));
        }
    }
    Ok(ReadBody::Buffered(bytes.freeze()))
}

/// streams a long body to the caller
fn stream_body(
    start: BytesMut,
    mut body: Incoming,
    connection: Connection,
    deadline: Instant,
) -> Body {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::task::spawn_local(async move {
        let streaming = async {
            if sender.send(Chunk::Bytes(start.freeze())).await.is_err() {
                return;
            }
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if sender.send(Chunk::Bytes(data)).await.is_err() {
                    return;
                }
            }
            if sender.send(Chunk::End).await.is_ok() {
                connection.release();
            }
        };
        if timeout_at(deadline, streaming).await.is_err() {
            tracing::info!(event = "answer_cut", cause = "deadline exceeded");
        }
    });
    Body::streamed(chunks)
}

/// logs a response and counts it in the metrics
pub(super) fn record_response<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    vm: &Vm,
    head: &Parts,
    took: Duration,
) {
    let outcome = if head.status.is_server_error() {
        "failed"
    } else {
        "answered"
    };
    let metrics = &shared.metrics;
    metrics
        .attempts
        .with_label_values(&[request.service.as_str(), outcome])
        .inc();
    metrics
        .requests
        .with_label_values(&[request.route.name.as_str(), outcome])
        .inc();
    let Some(left_out) = shared.permit_log("answer") else {
        return;
    };
    tracing::info!(
        event = "request_answered",
        request = request.call.id,
        route = request.route.name,
        vm = vm.id,
        version = vm.version,
        first_attempt = request.call.first_attempt,
        status = head.status.as_u16(),
        took_ms = took.as_millis() as u64,
        since_arrival_ms = request.arrived.elapsed().as_millis() as u64,
        left_out,
    );
}
