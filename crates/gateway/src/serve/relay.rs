use std::time::Duration;

use bytes::Bytes;
use route::place::Outcome;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, timeout_at};

use super::attempt::{note_miss, send};
use super::source::{Next, Source};
use super::stream::{Stream, lost};
use super::{Piece, Reason};
use crate::model::Vm;
use crate::seam::Dialect;

/// silence of a running stream after which it goes on elsewhere: callers give a stream up
/// after two seconds and more
const SILENCE: Duration = Duration::from_millis(1500);

/// a stream on its way to the caller
pub(super) struct Relay<D: Dialect> {
    stream: Stream<D>,
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
    /// a stream whose pieces go to the caller's connection
    pub fn new(stream: Stream<D>, sender: Sender<Piece>) -> Relay<D> {
        Relay { stream, sender }
    }

    /// passes the stream on until it ends
    pub async fn run(mut self, first: Bytes, source: Source<D>) {
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
                    self.note(
                        "caller_left",
                        &source.vm,
                        "the caller closed its connection",
                    );
                    return;
                }
                Ended::Expired => {
                    self.note("stream_cut", &source.vm, "the request's time is up");
                    return;
                }
                Ended::Broken(cause) => cause,
            };
            source.flight.ended(Outcome::Broken);
            note_miss(
                &self.stream.shared,
                &self.stream.request,
                &source.vm,
                Reason::Lost,
                &cause,
            );
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
            if now >= self.stream.request.deadline {
                return Ended::Expired;
            }
            let limit = self.stream.request.deadline.min(now + SILENCE);
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return Ended::CallerLeft,
                next = timeout_at(limit, source.next(&mut self.stream.events)) => next,
            };
            match next {
                Ok(Ok(Next::Events(bytes))) => {
                    let sending = self.sender.send(Piece::Bytes(bytes));
                    match timeout_at(self.stream.request.deadline, sending).await {
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
        self.stream.request.route.kind.is_repeatable()
            && self.stream.tries.sent() + 1 < self.stream.request.route.attempts
    }

    /// goes on at another VM after the last event that was passed on
    async fn resume(&mut self) -> Option<Source<D>> {
        self.stream.events.discard();
        let mut miss = lost();
        loop {
            let Stream {
                shared,
                request,
                tries,
                ..
            } = &mut self.stream;
            if !tries.again(shared, request, &miss) {
                return None;
            }
            let last = self.stream.events.last_id().map(str::to_owned);
            let (vm, pick) = self.stream.choose().ok()?;
            let sending = send(
                &self.stream.shared,
                &self.stream.request,
                &vm,
                &pick,
                last.as_deref(),
            );
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
        let Some(left_out) = self.stream.shared.permit_log(event) else {
            return;
        };
        tracing::info!(
            event,
            request = self.stream.request.call.id,
            vm = vm.id,
            cause,
            after_ms = self.stream.request.arrived.elapsed().as_millis() as u64,
            left_out,
        );
    }
}
