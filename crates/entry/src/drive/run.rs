//! All attempts of one request on this daemon.

use std::sync::Arc;
use std::time::Duration;

use engine::Failure;
use route::limit;
use route::retry::{self, AttemptState, Step};
use route::table::{Outcome, Pick, Request};
use route::verdict;
use schema::engine::Finish;
use schema::failure::Verdict;
use tokio::time::Instant;

use super::attempt::{Assignment, Attempt, OnDrain, Stop};
use super::{Job, fault, retry_failure};
use crate::context::Context;
use crate::fault::Fault;
use crate::journal::{End, Journal};
use crate::quarantine::Causes;

/// interval at which an accepted request without an upstream VM tries to select one
const SELECT_INTERVAL: Duration = Duration::from_millis(100);

/// a request with the state of its attempts
pub(super) struct Run<'a> {
    pub(super) context: &'a Context,
    pub(super) job: Job,
    driver: u32,
    blocks: Arc<[u64]>,
    attempts: u32,
    reconnects: u32,
    tokens_at_reset: u32,
    pub(super) avoid: Vec<String>,
    verdict: Verdict,
}

impl<'a> Run<'a> {
    pub(super) fn new(context: &'a Context, job: Job) -> Run<'a> {
        let blocks = route::prefix::blocks(&job.journal.origin.prompt);
        let driver = job.journal.attach_driver();
        let verdict = match job.journal.attempt() {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let tokens_at_reset = job.journal.token_count();
        Run {
            context,
            job,
            driver,
            blocks: blocks.into(),
            attempts: 0,
            reconnects: 0,
            tokens_at_reset,
            avoid: Vec::new(),
            verdict,
        }
    }

    /// runs attempts until the request has ended, then settles its permit
    pub(super) fn run(mut self) {
        let origin = &self.job.journal.origin;
        self.context
            .spans
            .add(origin.span_ids(), "queue", origin.accepted, "");
        if let Some(first) = self.first_assignment() {
            self.run_attempts(first);
        }
        if let Some(permit) = self.job.permit.take() {
            self.settle(permit);
        }
    }

    pub(super) fn journal(&self) -> &Journal {
        &self.job.journal
    }

    pub(super) fn is_driven(&self) -> bool {
        self.journal().is_driven_by(self.driver)
    }

    fn first_assignment(&mut self) -> Option<Assignment> {
        if let Some(pick) = self.job.pick.take() {
            return Some(Assignment::new(self.journal(), pick, 1));
        }
        match self.journal().stream() {
            Some(stream) => Some(Assignment::adopted(stream)),
            None => self.wait_for_vm(),
        }
    }

    /// runs attempts, each on the assignment that the one before returned
    fn run_attempts(&mut self, first: Assignment) {
        let mut next = Some(first);
        while let Some(assignment) = next {
            if self.fail_if_expired() {
                self.release(assignment, Outcome::Cancelled);
                return;
            }
            next = self.run_attempt(assignment);
        }
    }

    fn run_attempt(&mut self, assignment: Assignment) -> Option<Assignment> {
        let start = Instant::now();
        self.attempts += 1;
        let journal = Arc::clone(&self.job.journal);
        let context = self.context;
        let blocks = Arc::clone(&self.blocks);
        let opened = Attempt::open(context, &journal, self.driver, &assignment, blocks);
        let (stop, attempt) = match opened {
            Ok(mut attempt) => {
                self.verdict = verdict::join(self.verdict, Verdict::MayHaveRun);
                (
                    attempt.read(&assignment, OnDrain::Stop, || false),
                    Some(attempt),
                )
            }
            Err(stop) => (stop, None),
        };
        if let Stop::Failed(failure) = &stop
            && failure.verdict != Verdict::NotRun
        {
            let first_token = attempt.as_ref().and_then(Attempt::first_token);
            let stream = &assignment.stream;
            let quarantine = &context.quarantine;
            let causes = Causes::of(&journal.origin, &self.blocks);
            quarantine.record_broken(&causes, &stream.vm, &stream.address, first_token);
        }
        let stop = match (stop, attempt) {
            (Stop::Draining, Some(attempt)) => {
                self.record_attempt(&assignment, start, &Stop::Draining);
                return self.migrate(assignment, attempt);
            }
            (Stop::Failed(_), _) if !self.is_driven() => Stop::RequestEnded,
            (stop, _) => stop,
        };
        self.record_attempt(&assignment, start, &stop);
        match stop {
            Stop::Finished(finish) => self.finish(assignment, finish),
            Stop::RequestEnded => self.abandon(assignment),
            Stop::DeadlinePassed => self.time_out(assignment),
            Stop::Draining => return self.reassign(assignment),
            Stop::Failed(failure) => return self.recover(assignment, &failure),
        }
        None
    }

    pub(super) fn finish(&mut self, assignment: Assignment, finish: Finish) {
        let recomputed = u64::from(finish.usage.recomputed_tokens);
        self.context.metrics.recomputed_tokens.inc_by(recomputed);
        let journal = self.journal();
        if journal
            .finish(journal.attempt(), &finish.finish_reason, Instant::now())
            .is_err()
        {
            return self.abandon(assignment);
        }
        self.release(
            assignment,
            Outcome::Done {
                usage: finish.usage,
            },
        );
    }

    pub(super) fn time_out(&mut self, assignment: Assignment) {
        self.fail_if_expired();
        self.abandon(assignment);
    }

    /// stops attempts on a request that has ended or that another driver continues
    pub(super) fn abandon(&mut self, assignment: Assignment) {
        match self.journal().ended() {
            None | Some(End::HandedOver) => (),
            Some(_) => self.cancel(&assignment),
        }
        self.release(assignment, Outcome::Cancelled);
    }

    /// reconnects, switches to another VM or fails the request
    fn recover(&mut self, assignment: Assignment, failure: &Failure) -> Option<Assignment> {
        self.verdict = verdict::join(self.verdict, failure.verdict);
        self.reset_after_progress();
        let state = self.retry_state(&assignment);
        match retry::decide(&retry_failure(failure), &state) {
            Step::Reconnect => {
                self.reconnects += 1;
                Some(Assignment {
                    is_open: true,
                    ..assignment
                })
            }
            Step::Move { after } => {
                self.context.take_retry();
                self.reconnects = 0;
                self.avoid.push(assignment.stream.vm.clone());
                self.release(assignment, Outcome::Failed(retry_failure(failure).kind));
                self.pause(after);
                self.wait_for_vm()
            }
            Step::GiveUp => {
                let fault = fault(failure, self.verdict);
                self.journal().end(End::Failed(fault), Instant::now());
                self.release(assignment, Outcome::Failed(retry_failure(failure).kind));
                None
            }
        }
    }

    /// resets the counts of attempts and reconnects if tokens were received since the last reset
    fn reset_after_progress(&mut self) {
        let count = self.journal().token_count();
        if count > self.tokens_at_reset {
            self.tokens_at_reset = count;
            self.attempts = 1;
            self.reconnects = 0;
        }
    }

    fn retry_state(&self, assignment: &Assignment) -> AttemptState {
        AttemptState {
            idempotent: true,
            attempts: self.attempts,
            reconnects: self.reconnects,
            deadline_left: self.time_left(),
            breaker_open: false,
            draining: assignment.is_draining(self.context),
            budget_wait: self.context.retry_wait(),
            jitter: rand::random(),
        }
    }

    /// tries to select an upstream VM until it succeeds or the request ends
    pub(super) fn wait_for_vm(&mut self) -> Option<Assignment> {
        loop {
            if self.fail_if_expired() || !self.is_driven() || self.fail_if_quarantined() {
                return None;
            }
            if let Some(pick) = self.select_vm() {
                let number = self.journal().attempt() + 1;
                return Some(Assignment::new(self.journal(), pick, number));
            }
            self.avoid.clear();
            self.pause(SELECT_INTERVAL);
        }
    }

    pub(super) fn select_vm(&mut self) -> Option<Pick> {
        let start = Instant::now();
        let origin = &self.job.journal.origin;
        let prior = self.job.journal.token_count();
        let request = Request {
            service: &origin.service,
            blocks: &self.blocks,
            prompt_tokens: route::prefix::tokens(&origin.prompt),
            prior_tokens: prior,
            max_tokens: origin.max_tokens,
            priority: origin.priority,
            avoid: &self.avoid,
            deadline: origin.deadline,
            first_token: self.context.first_token_target(&origin.service),
        };
        let pick = self
            .context
            .vms
            .pick(&request, &mut rand::rng(), start)
            .ok()?;
        let note = format!("vm={} prior={prior}", pick.vm);
        self.context
            .spans
            .add(origin.span_ids(), "choose", start, &note);
        Some(pick)
    }

    fn pause(&self, time: Duration) {
        if time.is_zero() {
            return;
        }
        let count = self.journal().token_count() as usize;
        self.journal()
            .wait_for_tokens(count, time.min(self.time_left()));
    }

    fn time_left(&self) -> Duration {
        self.journal()
            .origin
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// fails the request if its deadline has passed; returns whether it has
    fn fail_if_expired(&self) -> bool {
        if !self.time_left().is_zero() {
            return false;
        }
        let message = "The request's deadline has passed.";
        let fault = Fault::may_have_run(504, "deadline", message).with_verdict(self.verdict);
        self.journal().end(End::Failed(fault), Instant::now());
        true
    }

    /// fails the request if its prompt ends VMs; returns whether it does
    fn fail_if_quarantined(&self) -> bool {
        let causes = Causes::of(&self.journal().origin, &self.blocks);
        let Some(fault) = self.context.quarantine.refusal(&causes) else {
            return false;
        };
        let fault = fault.with_verdict(self.verdict);
        self.journal().end(End::Failed(fault), Instant::now());
        true
    }

    pub(super) fn cancel(&self, assignment: &Assignment) {
        if let Err(error) = self
            .context
            .engines
            .cancel(&assignment.stream.address, &assignment.stream.name)
        {
            tracing::debug!(event = "cancel_failed", vm = assignment.stream.vm, %error);
        }
    }

    pub(super) fn release(&self, assignment: Assignment, outcome: Outcome) {
        if let Some(permit) = assignment.permit {
            self.context.vms.finish(permit, outcome, Instant::now());
        }
    }

    fn settle(&self, permit: limit::Permit) {
        let origin = &self.journal().origin;
        let used = route::prefix::tokens(&origin.prompt) + self.journal().token_count();
        self.context.limits.settle(permit, used, Instant::now());
    }

    fn record_attempt(&self, assignment: &Assignment, start: Instant, stop: &Stop) {
        let outcome = match stop {
            Stop::Finished(_) => "done",
            Stop::RequestEnded => "ended",
            Stop::DeadlinePassed => "late",
            Stop::Draining => "leaving",
            Stop::Failed(_) => "lost",
        };
        let origin = &self.journal().origin;
        let labels = [origin.service.as_str(), outcome];
        self.context
            .metrics
            .attempts
            .with_label_values(&labels)
            .inc();
        let mut note = format!("vm={} outcome={outcome}", assignment.stream.vm);
        if let Stop::Failed(failure) = stop {
            note.push_str(&format!(" cause={failure:?}"));
        }
        self.context
            .spans
            .add(origin.span_ids(), "attempt", start, &note);
    }
}
