//! Requests whose answers are short: read whole before any of it is passed on.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use route::place::{Outcome, Patience};
use route::verdict::Progress;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::attempt::{Answer, Miss, Tries, note_miss, send};
use super::choose::choose;
use super::request::Request;
use super::{Body, Own, Piece, Reason};
use crate::model::{Kind, Vm};
use crate::pool::Lease;
use crate::seam::Dialect;
use crate::shared::Shared;

/// answers up to this length are read whole, so that one cut short can still be replaced
const WHOLE_BYTES: usize = 256 * 1024;

/// pieces of a long answer on their way to the caller
const PIECES: usize = 4;

/// an answer of a VM
enum Read {
    Whole(Bytes),
    Long(BytesMut),
}

/// serves a request of a plain service
pub(super) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
) -> Result<Response<Body>, Own> {
    let mut tries = Tries::new();
    let mut spare: Option<Response<Body>> = None;
    loop {
        let patience = Patience::total(request.left());
        let (vm, pick) = match choose(shared, &request, &mut tries, patience) {
            Ok(chosen) => chosen,
            Err(own) => return spare.ok_or_else(|| tries.give_up(&request, Some(own))),
        };
        let sent_at = Instant::now();
        let miss = match send(shared, &request, &vm, &pick, None).await {
            Ok(answer) => match read(shared, &request, &vm, answer, sent_at).await {
                Ok(response) if !is_replaceable(&request, &response) => return Ok(response),
                Ok(response) => {
                    spare = Some(response);
                    Miss {
                        progress: Progress::Answered,
                        reason: Reason::Lost,
                    }
                }
                Err(miss) => miss,
            },
            Err(miss) => miss,
        };
        if !tries.again(shared, &request, &miss) {
            return spare.ok_or_else(|| tries.give_up(&request, None));
        }
    }
}

/// whether another VM may be asked in place of this answer
fn is_replaceable(request: &Request, response: &Response<Body>) -> bool {
    request.route.kind == Kind::Safe && response.status().is_server_error()
}

/// reads the body of an answer
async fn read<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    answer: Answer<D>,
    sent_at: Instant,
) -> Result<Response<Body>, Miss> {
    let Answer {
        head,
        mut body,
        lease,
        mut flight,
    } = answer;
    let reading = collect(&mut body);
    let read = match timeout_at(request.deadline, reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(cause)) => {
            flight.ended(Outcome::Broken);
            note_miss(shared, request, vm, Reason::Lost, &cause);
            return Err(lost());
        }
        Err(_) => {
            note_miss(
                shared,
                request,
                vm,
                Reason::Expired,
                "the body did not end in time",
            );
            return Err(lost());
        }
    };
    let failed = head.status.is_server_error();
    flight.ended(if failed {
        Outcome::Failed
    } else {
        Outcome::Answered
    });
    flight.took(sent_at.elapsed());
    note_answer(shared, request, vm, &head, sent_at.elapsed());
    count(shared, request);
    let body = match read {
        Read::Whole(bytes) => {
            lease.give_back();
            Body::whole(bytes)
        }
        Read::Long(start) => relay(start, body, lease, request.deadline),
    };
    Ok(response(shared, &head, body))
}

fn lost() -> Miss {
    Miss {
        progress: Progress::Sent,
        reason: Reason::Lost,
    }
}

/// counts a request that began at a VM for its workspace's usage
pub(super) fn count<D: Dialect>(shared: &Shared<D>, request: &Request) {
    if let Some(workspace) = &request.workspace {
        let mut tally = shared.tally.borrow_mut();
        tally.count(&workspace.name, SystemTime::now());
    }
}

/// the message to the caller
pub(super) fn response<D: Dialect>(shared: &Shared<D>, head: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = shared.dialect.answer(head);
    response
}

/// reads a body up to the length that is kept whole
async fn collect(body: &mut Incoming) -> Result<Read, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| crate::pool::cause(&error))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > WHOLE_BYTES {
            return Ok(Read::Long(bytes));
        }
    }
    Ok(Read::Whole(bytes.freeze()))
}

/// passes a long body on as it comes
fn relay(start: BytesMut, mut body: Incoming, lease: Lease, deadline: Instant) -> Body {
    let (sender, pieces) = mpsc::channel(PIECES);
    tokio::task::spawn_local(async move {
        let passing = async {
            if sender.send(Piece::Bytes(start.freeze())).await.is_err() {
                return;
            }
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else { return };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if sender.send(Piece::Bytes(data)).await.is_err() {
                    return;
                }
            }
            if sender.send(Piece::End).await.is_ok() {
                lease.give_back();
            }
        };
        if timeout_at(deadline, passing).await.is_err() {
            tracing::info!(event = "answer_cut", cause = "the request's time is up");
        }
    });
    Body::relay(pieces)
}

/// logs and counts an answer
pub(super) fn note_answer<D: Dialect>(
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
        status = head.status.as_u16(),
        took_ms = took.as_millis() as u64,
        since_arrival_ms = request.arrived.elapsed().as_millis() as u64,
        left_out,
    );
}
