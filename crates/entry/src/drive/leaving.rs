//! Moving a stream off an upstream VM that is leaving.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use route::retry;
use route::table::{Outcome, Pick};
use schema::engine::Import;
use tokio::time::Instant;

use super::attempt::{Attempt, Halt, Seat};
use super::run::Run;

/// rest of an answer that a leaving upstream VM is left to finish
const FINISH_WITHIN: Duration = Duration::from_secs(2);

impl Run<'_> {
    /// finishes on a leaving VM if little is missing, else moves the stream
    pub(super) fn leave(&mut self, seat: Seat, mut attempt: Attempt<'_>) -> Option<Seat> {
        let origin = &self.journal().origin;
        let missing = origin.max_tokens.saturating_sub(self.journal().count());
        if self.context.pace_of(&origin.service) * missing <= FINISH_WITHIN {
            let halt = attempt.read(&seat, || false);
            return self.after_leaving(seat, halt);
        }
        self.avoid.push(seat.stream.vm.clone());
        let Some(pick) = self.pick() else {
            let halt = attempt.read(&seat, || false);
            return self.after_leaving(seat, halt);
        };
        self.export(seat, attempt, pick)
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
        let import = Import {
            source: format!("http://{}", seat.stream.address),
            request_id: seat.stream.name.clone(),
        };
        let moved = AtomicBool::new(false);
        let halt = thread::scope(|scope| {
            scope.spawn(|| {
                if let Err(error) = self.context.engines.import(&pick.address, &import) {
                    tracing::info!(event = "kv_move_failed", vm = pick.vm, %error);
                }
                moved.store(true, Ordering::Release);
            });
            attempt.read(&seat, || moved.load(Ordering::Acquire))
        });
        let number = attempt.number() + 1;
        drop(attempt);
        let note = format!("from={} to={}", seat.stream.vm, pick.vm);
        let origin = &self.journal().origin;
        self.context.spans.add(origin.hop(), "move", start, &note);
        match halt {
            Halt::Leaving | Halt::Lost(_) if self.is_driven() => {
                self.cancel(&seat);
                self.release(seat, Outcome::Failed(retry::Kind::Leaving));
                Some(Seat::fresh(self.journal(), pick, number))
            }
            halt => {
                self.context
                    .routes
                    .finish(pick.permit, Outcome::Cancelled, Instant::now());
                self.after_leaving(seat, halt)
            }
        }
    }

    pub(super) fn move_on(&mut self, seat: Seat) -> Option<Seat> {
        self.avoid.push(seat.stream.vm.clone());
        self.release(seat, Outcome::Failed(retry::Kind::Leaving));
        self.look()
    }
}
