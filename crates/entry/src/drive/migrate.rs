//! Moving a stream off an upstream VM that is leaving.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use route::resume::{self, Plan, Successor};
use route::retry;
use route::table::{Outcome, Pick};
use schema::engine::Import;
use tokio::time::Instant;

use super::attempt::{Attempt, Halt, Heed, Seat};
use super::run::Run;

impl Run<'_> {
    /// finishes on a leaving VM, or moves the stream with or without its KV cache
    pub(super) fn leave(&mut self, seat: Seat, mut attempt: Attempt<'_>) -> Option<Seat> {
        self.avoid.push(seat.stream.vm.clone());
        let Some(pick) = self.pick() else {
            let halt = attempt.read(&seat, Heed::Nothing, || false);
            return self.after_leaving(seat, halt);
        };
        let plan = self.plan(&seat, &attempt, &pick);
        tracing::info!(
            event = "stream_leaves",
            request = self.journal().origin.id,
            ?plan
        );
        match plan {
            Plan::Finish => {
                self.give_back(pick);
                let halt = attempt.read(&seat, Heed::Nothing, || false);
                self.after_leaving(seat, halt)
            }
            Plan::Export => self.export(seat, attempt, pick),
            Plan::Resume => self.resume(seat, &attempt, pick),
        }
    }

    fn plan(&self, seat: &Seat, attempt: &Attempt<'_>, pick: &Pick) -> Plan {
        let origin = &self.journal().origin;
        let done = self.journal().count();
        let tokens = route::prefix::tokens(&origin.prompt) + done;
        let step = attempt
            .step()
            .unwrap_or(self.context.pace_of(&origin.service));
        let stream = resume::Stream {
            generated_tokens: done,
            remaining_tokens: origin.max_tokens.saturating_sub(done),
            step,
        };
        let successor = Successor {
            queue: Duration::ZERO,
            prefill: pick.estimate / tokens.max(1),
            step,
            slots: 1,
            streams: 0,
            link: pick.crosses_link,
        };
        let moves = &self.context.moves;
        let left = moves.left(&seat.stream.vm, Instant::now());
        resume::plan(&stream, left, &moves.kv(tokens), &successor)
    }

    fn after_leaving(&mut self, seat: Seat, halt: Halt) -> Option<Seat> {
        match halt {
            Halt::Done(finish) => self.done(seat, finish),
            Halt::Ended => self.ended(seat),
            Halt::Late => self.late(seat),
            Halt::Lost(_) if !self.is_driven() => self.ended(seat),
            Halt::Leaving | Halt::Lost(_) => return self.move_on(seat),
        }
        None
    }

    /// moves the KV cache to the successor while the old stream goes on
    fn export(&mut self, seat: Seat, mut attempt: Attempt<'_>, pick: Pick) -> Option<Seat> {
        let start = Instant::now();
        let moved = AtomicBool::new(false);
        let halt = thread::scope(|scope| {
            scope.spawn(|| {
                self.import(&seat, &pick);
                moved.store(true, Ordering::Release);
            });
            attempt.read(&seat, Heed::Nothing, || moved.load(Ordering::Acquire))
        });
        let note = format!("from={} to={}", seat.stream.vm, pick.vm);
        let origin = &self.journal().origin;
        self.context.spans.add(origin.hop(), "move", start, &note);
        match halt {
            Halt::Leaving | Halt::Lost(_) if self.is_driven() => self.resume(seat, &attempt, pick),
            halt => {
                self.give_back(pick);
                self.after_leaving(seat, halt)
            }
        }
    }

    fn import(&self, seat: &Seat, pick: &Pick) {
        let start = Instant::now();
        let import = Import {
            source: format!("http://{}", seat.stream.address),
            request_id: seat.stream.name.clone(),
        };
        match self.context.engines.import_kv_cache(&pick.address, &import) {
            Ok(imported) => {
                let (tokens, bytes) = (imported.tokens, imported.bytes);
                self.context.moves.learn(tokens, bytes, start.elapsed());
                self.context.metrics.moved_bytes.inc_by(bytes);
            }
            Err(error) => tracing::info!(event = "kv_move_failed", vm = pick.vm, %error),
        }
    }

    /// ends the stream on the old VM and goes on at the successor
    fn resume(&mut self, seat: Seat, attempt: &Attempt<'_>, pick: Pick) -> Option<Seat> {
        let number = attempt.number() + 1;
        self.cancel(&seat);
        self.release(seat, Outcome::Failed(retry::Kind::Draining));
        Some(Seat::fresh(self.journal(), pick, number))
    }

    pub(super) fn move_on(&mut self, seat: Seat) -> Option<Seat> {
        self.avoid.push(seat.stream.vm.clone());
        self.release(seat, Outcome::Failed(retry::Kind::Draining));
        self.look()
    }

    fn give_back(&self, pick: Pick) {
        let now = Instant::now();
        self.context
            .routes
            .finish(pick.permit, Outcome::Cancelled, now);
    }
}
