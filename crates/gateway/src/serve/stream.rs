//! Event streams: passed on event by event, and gone on with at another VM if they break.
//!
//! The head goes out with the first event, so that up to then another VM can take over
//! unnoticed. After that only whole events are passed on; a stream that breaks and may be
//! resumed goes on after the last one, under the head of its first VM.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use route::place::{Choice, Kind, Outcome, Patience, Pick, patience, return_after};
use route::verdict::Progress;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::{Instant, timeout_at};

use super::attempt::{Answer, Miss, Tries, note_miss, send};
use super::events::Events;
use super::flight::Flight;
use super::plain::{count, note_answer, response};
use super::request::Request;
use super::{Body, Own, Piece, Reason};
use crate::model::Vm;
use crate::pool::Lease;
use crate::seam::Dialect;
use crate::shared::Shared;

/// pieces of a stream on their way to the caller
const PIECES: usize = 16;

/// silence of a running stream after which it goes on elsewhere: callers give a stream up
/// after two seconds and more
const SILENCE: Duration = Duration::from_millis(1500);

/// longest answer without events, such as a failure, that is passed on
const WHOLE_BYTES: usize = 256 * 1024;

/// a stream at a VM
struct Source<D: Dialect> {
    vm: Rc<Vm>,
    body: Incoming,
    lease: Lease,
    flight: Flight<D>,
}

/// what comes next of a stream
enum Next {
    /// whole events
    Events(Bytes),
    /// the end
    End(Bytes),
}

/// an answer whose first event, or whose end, has come
enum Opened<D: Dialect> {
    Stream(Parts, Bytes, Source<D>),
    Whole(Response<Body>),
}

/// serves a request that is answered by a stream
pub(super) async fn serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
) -> Result<Response<Body>, Own> {
    let mut tries = Tries::new();
    let mut events = Events::new();
    let resume_after = request.call.resume_after.clone();
    loop {
        let (vm, pick) = match choose(shared, &request, &tries) {
            Ok(chosen) => chosen,
            Err(own) => return Err(tries.give_up(&request, Some(own))),
        };
        tries.avoid.push(vm.id.clone());
        let opening = open(shared, &request, &vm, &pick, resume_after.as_deref(), &mut events);
        let miss = match opening.await {
            Ok(Opened::Whole(response)) => return Ok(response),
            Ok(Opened::Stream(head, first, source)) => {
                count(shared, &request);
                note_answer(shared, &request, &vm, &head, request.arrived.elapsed());
                return Ok(relay(shared, request, &head, first, source, (tries, events)));
            }
            Err(miss) => miss,
        };
        events.discard();
        if !tries.again(shared, &request, &miss) {
            return Err(tries.give_up(&request, None));
        }
    }
}

fn choose<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    tries: &Tries,
) -> Result<(Rc<Vm>, Pick), Own> {
    let patience = if tries.sent() == 0 {
        let own = Kind {
            priority: request.priority(),
            objective: request.route.objective,
        };
        patience(own, &request.kinds)
    } else {
        Patience::total(request.left())
    };
    let ask = request.ask(&tries.avoid, patience);
    let now = Instant::now();
    let mut board = shared.board.borrow_mut();
    let choice = board.choose(&ask, now);
    if tries.avoid.is_empty() {
        let unread = match &choice {
            Choice::Send(pick) => pick.uncached,
            Choice::Full(_) | Choice::Nobody => request.own_tokens(),
        };
        board.offer(&request.service, unread, now);
    }
    drop(board);
    let choice = match choice {
        Choice::Full(room) => Choice::Full(return_after(request.priority(), room)),
        other => other,
    };
    shared.chosen(choice)
}

/// sends a request and waits for its first event
async fn open<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: &Request,
    vm: &Rc<Vm>,
    pick: &Pick,
    resume_after: Option<&str>,
    events: &mut Events,
) -> Result<Opened<D>, Miss> {
    let answer = send(shared, request, vm, pick, resume_after).await?;
    if !answer.head.status.is_success() {
        return whole(shared, request, vm, answer).await;
    }
    let Answer {
        head,
        body,
        lease,
        flight,
    } = answer;
    let mut source = Source {
        vm: Rc::clone(vm),
        body,
        lease,
        flight,
    };
    let next = timeout_at(request.deadline, source.next(events)).await;
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
    flight.ended(if failed { Outcome::Failed } else { Outcome::Answered });
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
    Ok(Opened::Whole(response(shared, &head, Body::whole(bytes))))
}

fn lost() -> Miss {
    Miss {
        progress: Progress::Sent,
        reason: Reason::Lost,
    }
}

impl<D: Dialect> Source<D> {
    /// waits for whole events or the end
    async fn next(&mut self, events: &mut Events) -> Result<Next, String> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| crate::pool::cause(&error))?;
            self.flight.heard();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let batch = events.push(&data).map_err(|_| "an event is too long".to_owned())?;
            if let Some(batch) = batch {
                return Ok(Next::Events(batch.bytes));
            }
        }
        Ok(Next::End(events.rest()))
    }
}

/// passes a stream on in a task of its own
fn relay<D: Dialect>(
    shared: &Rc<Shared<D>>,
    request: Request,
    head: &Parts,
    first: Bytes,
    source: Source<D>,
    (tries, events): (Tries, Events),
) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let response = response(shared, head, Body::relay(pieces));
    let relay = Relay {
        shared: Rc::clone(shared),
        request,
        tries,
        events,
        sender,
    };
    tokio::task::spawn_local(relay.run(first, source));
    response
}

/// a stream on its way to the caller
struct Relay<D: Dialect> {
    shared: Rc<Shared<D>>,
    request: Request,
    tries: Tries,
    events: Events,
    sender: Sender<Piece>,
}

/// why a stream ended
enum Ended {
    /// it is complete
    Complete(Bytes),
    /// the caller has left
    CallerLeft,
    /// its time is up
    Expired,
    /// it broke at its VM
    Broken(String),
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, first: Bytes, source: Source<D>) {
        if self.sender.send(Piece::Bytes(first)).await.is_err() {
            return;
        }
        let mut source = source;
        loop {
            let ended = self.pass(&mut source).await;
            let cause = match ended {
                Ended::Complete(rest) => {
                    source.flight.ended(Outcome::Answered);
                    source.lease.give_back();
                    self.finish(rest).await;
                    return;
                }
                Ended::CallerLeft => {
                    self.note("caller_left", &source.vm, "the caller closed its connection");
                    return;
                }
                Ended::Expired => {
                    self.note("stream_cut", &source.vm, "the request's time is up");
                    return;
                }
                Ended::Broken(cause) => cause,
            };
            source.flight.ended(Outcome::Broken);
            note_miss(&self.shared, &self.request, &source.vm, Reason::Lost, &cause);
            drop(source);
            match self.resume().await {
                Some(next) => source = next,
                None => return,
            }
        }
    }

    /// passes on events until the stream ends one way or the other
    async fn pass(&mut self, source: &mut Source<D>) -> Ended {
        loop {
            let now = Instant::now();
            if now >= self.request.deadline {
                return Ended::Expired;
            }
            let limit = self.request.deadline.min(now + SILENCE);
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return Ended::CallerLeft,
                next = timeout_at(limit, source.next(&mut self.events)) => next,
            };
            match next {
                Ok(Ok(Next::Events(bytes))) => {
                    let sending = self.sender.send(Piece::Bytes(bytes));
                    match timeout_at(self.request.deadline, sending).await {
                        Ok(Ok(())) => {}
                        Ok(Err(_)) => return Ended::CallerLeft,
                        Err(_) => return Ended::Expired,
                    }
                }
                Ok(Ok(Next::End(rest))) => return Ended::Complete(rest),
                Ok(Err(cause)) => return Ended::Broken(cause),
                Err(_) if self.may_resume() => return Ended::Broken("no event in time".to_owned()),
                Err(_) => {}
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.request.route.kind.is_repeatable()
            && self.tries.sent() + 1 < self.request.route.attempts
    }

    /// goes on at another VM after the last event that was passed on
    async fn resume(&mut self) -> Option<Source<D>> {
        self.events.discard();
        let mut miss = lost();
        loop {
            if !self.tries.again(&self.shared, &self.request, &miss) {
                return None;
            }
            let last = self.events.last_id().map(str::to_owned);
            let Ok((vm, pick)) = choose(&self.shared, &self.request, &self.tries) else {
                return None;
            };
            self.tries.avoid.push(vm.id.clone());
            let sending = send(&self.shared, &self.request, &vm, &pick, last.as_deref());
            let sent = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                sent = sending => sent,
            };
            miss = match sent {
                Ok(answer) if answer.head.status.is_success() => {
                    self.note("stream_resumed", &vm, last.as_deref().unwrap_or(""));
                    return Some(Source {
                        vm,
                        body: answer.body,
                        lease: answer.lease,
                        flight: answer.flight,
                    });
                }
                Ok(_) => lost(),
                Err(miss) => miss,
            };
        }
    }

    async fn finish(self, rest: Bytes) {
        if !rest.is_empty() && self.sender.send(Piece::Bytes(rest)).await.is_err() {
            return;
        }
        // a caller that leaves at the very end needs no word
        let _ = self.sender.send(Piece::End).await;
    }

    fn note(&self, event: &'static str, vm: &Vm, cause: &str) {
        let Some(dropped) = self.shared.sampler.borrow_mut().permit(event, Instant::now()) else {
            return;
        };
        tracing::info!(
            event,
            request = self.request.call.id,
            vm = vm.id,
            cause,
            after_ms = self.request.arrived.elapsed().as_millis() as u64,
            left_out = dropped,
        );
    }
}
