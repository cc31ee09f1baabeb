//! Event streams: passed on event by event, and gone on with at another VM if they break.
//!
//! The head goes out with the first event, so that up to then another VM can take over
//! unnoticed. After that only whole events are passed on; a stream that breaks and may be
//! resumed goes on after the last one, under the head of its first VM.

use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use route::placement::{Kind, Outcome, Pick, TimeLimit, time_limit};
use route::verdict::Progress;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::attempt::{Answer, Miss, Tries, note_miss, send};
use super::choose::choose;
use super::events::Events;
use super::plain::{count, note_answer, response};
use super::relay::Relay;
use super::request::Request;
use super::source::{Next, Source};
use super::{Body, Own, Reason};
use crate::model::Vm;
use crate::seam::Dialect;
use crate::shared::Shared;

/// pieces of a stream on their way to the caller
const PIECES: usize = 16;

/// longest answer without events, such as a failure, that is passed on
const WHOLE_BYTES: usize = 256 * 1024;

/// an answer whose first event, or whose end, has come
enum Opened<D: Dialect> {
    Stream(Parts, Bytes, Source<D>),
    Whole(Response<Body>),
}

/// a request and its attempts so far
pub(super) struct Stream<D: Dialect> {
    pub shared: Rc<Shared<D>>,
    pub request: Request,
    pub tries: Tries,
    pub events: Events,
}

/// serves a request that is answered by a stream
pub(super) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
) -> Result<Response<Body>, Own> {
    let mut stream = Stream {
        shared: Rc::clone(shared),
        request,
        tries: Tries::new(),
        events: Events::new(),
    };
    loop {
        let (vm, pick) = match stream.choose() {
            Ok(chosen) => chosen,
            Err(own) => return Err(stream.tries.give_up(&stream.request, Some(own))),
        };
        let miss = match stream.open(&vm, &pick).await {
            Ok(Opened::Whole(response)) => return Ok(response),
            Ok(Opened::Stream(head, first, source)) => {
                count(shared, &stream.request);
                let took = stream.request.arrived.elapsed();
                note_answer(shared, &stream.request, &vm, &head, took);
                return Ok(stream.relay(&head, first, source));
            }
            Err(miss) => miss,
        };
        stream.events.discard();
        if !stream.tries.again(shared, &stream.request, &miss) {
            return Err(stream.tries.give_up(&stream.request, None));
        }
    }
}

impl<D: Dialect> Stream<D> {
    /// chooses a VM, and notes it as tried
    pub fn choose(&mut self) -> Result<(Rc<Vm>, Pick), Own> {
        let Stream {
            shared,
            request,
            tries,
            ..
        } = self;
        let patience = if tries.sent() == 0 {
            let own = Kind {
                priority: request.route.priority,
                objective: request.route.objective,
            };
            time_limit(own, &request.kinds)
        } else {
            TimeLimit::total(request.left())
        };
        choose(shared, request, tries, patience)
    }

    /// sends the request and waits for its first event
    async fn open(&mut self, vm: &Rc<Vm>, pick: &Pick) -> Result<Opened<D>, Miss> {
        let (shared, request) = (&self.shared, &self.request);
        let resume_after = request.call.resume_after.as_deref();
        let answer = send(shared, request, vm, pick, resume_after).await?;
        if !answer.head.status.is_success() {
            return whole(shared, request, vm, answer).await;
        }
        let head = answer.head;
        let mut source = Source {
            vm: Rc::clone(vm),
            body: answer.body,
            lease: answer.lease,
            flight: answer.flight,
        };
        let next = timeout_at(request.deadline, source.next(&mut self.events)).await;
        match next {
            Ok(Ok(Next::Events(first))) => {
                source.flight.first_token();
                Ok(Opened::Stream(head, first, source))
            }
            Ok(Ok(Next::End(rest))) => {
                source.flight.ended(Outcome::Answered);
                source.lease.give_back();
                note_answer(shared, request, vm, &head, request.arrived.elapsed());
                Ok(Opened::Whole(response(shared, &head, Body::whole(rest))))
            }
            Ok(Err(cause)) => {
                source.flight.ended(Outcome::Broken);
                note_miss(shared, request, vm, Reason::Lost, &cause);
                Err(lost())
            }
            Err(_) => {
                note_miss(shared, request, vm, Reason::Expired, "no event in time");
                Err(lost())
            }
        }
    }

    /// passes the stream on in a task of its own
    fn relay(self, head: &Parts, first: Bytes, source: Source<D>) -> Response<Body> {
        let (sender, pieces) = mpsc::channel(PIECES);
        let response = response(&self.shared, head, Body::relay(pieces));
        tokio::task::spawn_local(Relay::new(self, sender).run(first, source));
        response
    }
}

/// passes on an answer that is no stream, such as a failure of the VM
async fn whole<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Vm,
    answer: Answer<D>,
) -> Result<Opened<D>, Miss> {
    let Answer {
        head,
        body,
        lease,
        mut flight,
    } = answer;
    let failed = head.status.is_server_error();
    flight.ended(if failed {
        Outcome::Failed
    } else {
        Outcome::Answered
    });
    let reading = http_body_util::Limited::new(body, WHOLE_BYTES).collect();
    let bytes = match timeout_at(request.deadline, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            flight.ended(Outcome::Broken);
            note_miss(shared, request, vm, Reason::Lost, &error.to_string());
            return Err(lost());
        }
        Err(_) => return Err(lost()),
    };
    lease.give_back();
    note_answer(shared, request, vm, &head, request.arrived.elapsed());
    // a VM that answers with a failure of its own has run the request
    if failed {
        count(shared, request);
    }
    Ok(Opened::Whole(response(shared, &head, Body::whole(bytes))))
}

pub(super) fn lost() -> Miss {
    Miss {
        progress: Progress::Sent,
        reason: Reason::Lost,
    }
}
