//! A request's way through its attempts.

use std::time::Duration;

use engine::Failure;
use route::limit;
use route::retry::{self, AttemptState, Step};
use route::table::{Outcome, Pick, Request};
use route::verdict;
use schema::engine::Finish;
use schema::failure::Verdict;
use tokio::time::Instant;

use super::attempt::{Attempt, Halt, Heed, Seat};
use super::{Job, fault, retry_failure};
use crate::context::Context;
use crate::fault::Fault;
use crate::journal::{End, Journal};

/// wait before an accepted request looks for an upstream VM again
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// one request and what is known of its attempts
pub(super) struct Run<'a> {
    pub(super) context: &'a Context,
    pub(super) job: Job,
    driver: u32,
    blocks: Vec<u64>,
    attempts: u32,
    reconnects: u32,
    progress: u32,
    pub(super) avoid: Vec<String>,
    verdict: Verdict,
}

impl<'a> Run<'a> {
    pub(super) fn new(context: &'a Context, job: Job) -> Run<'a> {
        let blocks = route::prefix::blocks(&job.journal.origin.prompt);
        let driver = job.journal.take_up();
        let verdict = match job.journal.attempt() {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let progress = job.journal.count();
        Run {
            context,
            job,
            driver,
            blocks,
            attempts: 0,
            reconnects: 0,
            progress,
            avoid: Vec::new(),
            verdict,
        }
    }

    /// fills the journal and gives back what the request holds
    pub(super) fn run(mut self) {
        let origin = &self.job.journal.origin;
        self.context
            .spans
            .add(origin.hop(), "queue", origin.accepted, "");
        if let Some(first) = self.first() {
            self.follow(first);
        }
        if let Some(permit) = self.job.permit.take() {
            self.settle(permit);
        }
    }

    pub(super) fn journal(&self) -> &Journal {
        &self.job.journal
    }

    pub(super) fn is_driven(&self) -> bool {
        self.journal().is_driven(self.driver)
    }

    fn first(&mut self) -> Option<Seat> {
        if let Some(pick) = self.job.pick.take() {
            return Some(Seat::fresh(self.journal(), pick, 1));
        }
        match self.journal().stream() {
            Some(stream) => Some(Seat::adopted(stream)),
            None => self.look(),
        }
    }

    /// goes from attempt to attempt until the request has ended
    fn follow(&mut self, first: Seat) {
        let mut next = Some(first);
        while let Some(seat) = next {
            if self.out_of_time() {
                self.release(seat, Outcome::Cancelled);
                return;
            }
            next = self.attempt(seat);
        }
    }

    fn attempt(&mut self, seat: Seat) -> Option<Seat> {
        let start = Instant::now();
        self.attempts += 1;
        let journal = std::sync::Arc::clone(&self.job.journal);
        let context = self.context;
        let (halt, attempt) = match Attempt::open(context, &journal, self.driver, &seat) {
            Ok(mut attempt) => {
                self.verdict = verdict::join(self.verdict, Verdict::MayHaveRun);
                (attempt.read(&seat, Heed::Notice, || false), Some(attempt))
            }
            Err(halt) => (halt, None),
        };
        let halt = match (halt, attempt) {
            (Halt::Leaving, Some(attempt)) => {
                self.note(&seat, start, &Halt::Leaving);
                return self.leave(seat, attempt);
            }
            (Halt::Lost(_), _) if !self.is_driven() => Halt::Ended,
            (halt, _) => halt,
        };
        self.note(&seat, start, &halt);
        match halt {
            Halt::Done(finish) => self.done(seat, finish),
            Halt::Ended => self.ended(seat),
            Halt::Late => self.late(seat),
            Halt::Leaving => return self.move_on(seat),
            Halt::Lost(failure) => return self.lost(seat, &failure),
        }
        None
    }

    pub(super) fn done(&mut self, seat: Seat, finish: Finish) {
        let recomputed = u64::from(finish.usage.recomputed_tokens);
        self.context.metrics.recomputed.inc_by(recomputed);
        let journal = self.journal();
        if journal
            .finish(journal.attempt(), &finish.finish_reason, Instant::now())
            .is_err()
        {
            return self.ended(seat);
        }
        self.release(
            seat,
            Outcome::Done {
                usage: finish.usage,
            },
        );
    }

    pub(super) fn late(&mut self, seat: Seat) {
        self.out_of_time();
        self.ended(seat);
    }

    pub(super) fn ended(&mut self, seat: Seat) {
        match self.journal().ended() {
            None | Some(End::Moved) => (),
            Some(_) => self.cancel(&seat),
        }
        self.release(seat, Outcome::Cancelled);
    }

    fn lost(&mut self, seat: Seat, failure: &Failure) -> Option<Seat> {
        self.verdict = verdict::join(self.verdict, failure.verdict);
        self.forgive();
        let state = self.state(&seat);
        match retry::decide(&retry_failure(failure), &state) {
            Step::Reconnect => {
                self.reconnects += 1;
                Some(Seat {
                    running: true,
                    ..seat
                })
            }
            Step::Move { after } => {
                self.context.take_retry();
                self.reconnects = 0;
                self.avoid.push(seat.stream.vm.clone());
                self.release(seat, Outcome::Failed(retry_failure(failure).kind));
                self.pause(after);
                self.look()
            }
            Step::GiveUp => {
                let fault = fault(failure, self.verdict);
                self.journal().end(End::Failed(fault), Instant::now());
                self.release(seat, Outcome::Failed(retry_failure(failure).kind));
                None
            }
        }
    }

    /// attempts and reconnects count from the last token that came
    fn forgive(&mut self) {
        let count = self.journal().count();
        if count > self.progress {
            self.progress = count;
            self.attempts = 1;
            self.reconnects = 0;
        }
    }

    fn state(&self, seat: &Seat) -> AttemptState {
        AttemptState {
            idempotent: true,
            attempts: self.attempts,
            reconnects: self.reconnects,
            deadline_left: self.left(),
            breaker_open: false,
            draining: seat.is_leaving(self.context),
            budget_wait: self.context.retry_wait(),
            jitter: rand::random(),
        }
    }

    /// looks for an upstream VM until there is one or the request ends
    pub(super) fn look(&mut self) -> Option<Seat> {
        loop {
            if self.out_of_time() || !self.is_driven() {
                return None;
            }
            if let Some(pick) = self.pick() {
                let number = self.journal().attempt() + 1;
                return Some(Seat::fresh(self.journal(), pick, number));
            }
            self.avoid.clear();
            self.pause(LOOK_AGAIN);
        }
    }

    pub(super) fn pick(&mut self) -> Option<Pick> {
        let start = Instant::now();
        let origin = &self.job.journal.origin;
        let prior = self.job.journal.count();
        let ask = Request {
            service: &origin.service,
            blocks: &self.blocks,
            prompt_tokens: route::prefix::tokens(&origin.prompt),
            prior_tokens: prior,
            max_tokens: origin.max_tokens,
            priority: origin.priority,
            avoid: &self.avoid,
            deadline: origin.deadline,
            first_token: self.context.first_token_of(&origin.service),
        };
        let pick = self
            .context
            .routes
            .pick(&ask, &mut rand::rng(), start)
            .ok()?;
        let note = format!("vm={} prior={prior}", pick.vm);
        self.context.spans.add(origin.hop(), "choose", start, &note);
        Some(pick)
    }

    fn pause(&self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let count = self.journal().count() as usize;
        self.journal().wait(count, time.min(self.left()));
    }

    fn left(&self) -> Duration {
        self.journal()
            .origin
            .deadline
            .saturating_duration_since(Instant::now())
    }

    fn out_of_time(&self) -> bool {
        if !self.left().is_zero() {
            return false;
        }
        let message = "The request's deadline has passed.";
        let fault = Fault::unsure(504, "deadline", message).with_verdict(self.verdict);
        self.journal().end(End::Failed(fault), Instant::now());
        true
    }

    pub(super) fn cancel(&self, seat: &Seat) {
        if let Err(error) = self
            .context
            .engines
            .cancel(&seat.stream.address, &seat.stream.name)
        {
            tracing::debug!(event = "cancel_failed", vm = seat.stream.vm, %error);
        }
    }

    pub(super) fn release(&self, seat: Seat, outcome: Outcome) {
        if let Some(permit) = seat.permit {
            self.context.routes.finish(permit, outcome, Instant::now());
        }
    }

    fn settle(&self, permit: limit::Permit) {
        let origin = &self.journal().origin;
        let used = route::prefix::tokens(&origin.prompt) + self.journal().count();
        self.context.limits.settle(permit, used, Instant::now());
    }

    fn note(&self, seat: &Seat, start: Instant, halt: &Halt) {
        let outcome = match halt {
            Halt::Done(_) => "done",
            Halt::Ended => "ended",
            Halt::Late => "late",
            Halt::Leaving => "leaving",
            Halt::Lost(_) => "lost",
        };
        let origin = &self.journal().origin;
        let labels = [origin.service.as_str(), outcome];
        self.context
            .metrics
            .attempts
            .with_label_values(&labels)
            .inc();
        let mut note = format!("vm={} outcome={outcome}", seat.stream.vm);
        if let Halt::Lost(failure) = halt {
            note.push_str(&format!(" cause={failure:?}"));
        }
        self.context
            .spans
            .add(origin.hop(), "attempt", start, &note);
    }
}
