//! One attempt: a stream on one upstream VM.

use std::sync::Arc;
use std::time::Duration;

use engine::{Failure, Item, Stream};
use macro_rules_attribute::apply;
use route::quarantine::BEGIN_TIME;
use route::table::{Permit, Pick};
use schema::engine::Finish;
use schema::journal as wire;
use schema::value;
use tokio::time::Instant;

use crate::context::Context;
use crate::journal::Journal;
use crate::quarantine::Causes;

/// an upstream VM assigned to a request, and its stream there
pub(super) struct Assignment {
    /// VM, address and name of the stream
    pub(super) stream: wire::Stream,
    /// counts the request on the VM; none for a stream that another daemon opened
    pub(super) permit: Option<Permit>,
    /// whether the stream is already open, so that the attempt attaches to it
    pub(super) is_open: bool,
}

/// what an attempt does when its VM begins to drain
#[apply(value!)]
pub(super) enum OnDrain {
    /// stops reading, so that the stream can be migrated
    Stop,
    /// continues to read
    Continue,
}

/// why reading from a stream stopped
pub(super) enum Stop {
    /// the stream is complete
    Finished(Finish),
    /// the request ended otherwise, or another driver continues it
    RequestEnded,
    /// the request's deadline has passed
    DeadlinePassed,
    /// the upstream VM drains, or the caller of [`Attempt::read`] asked to stop
    Draining,
    /// the stream failed
    Failed(Failure),
}

/// a numbered attempt with its open stream
pub(super) struct Attempt<'a> {
    context: &'a Context,
    journal: &'a Journal,
    driver: u32,
    number: u32,
    reader: Stream,
    blocks: Arc<[u64]>,
    first_token: Option<Instant>,
    is_success_recorded: bool,
    last_token: Instant,
    step_time: Duration,
    steps: u32,
}

impl Assignment {
    /// an assignment to a new stream
    pub(super) fn new(journal: &Journal, pick: Pick, number: u32) -> Assignment {
        let name = format!("{}-{number}", journal.origin.id);
        let stream = wire::Stream {
            vm: pick.vm,
            address: pick.address,
            name,
        };
        Assignment {
            stream,
            permit: Some(pick.permit),
            is_open: false,
        }
    }

    /// an assignment to a stream that another daemon opened
    pub(super) fn adopted(stream: wire::Stream) -> Assignment {
        Assignment {
            stream,
            permit: None,
            is_open: true,
        }
    }

    /// whether its VM is known to be draining
    pub(super) fn is_draining(&self, context: &Context) -> bool {
        match &self.permit {
            Some(permit) => permit.is_draining(),
            None => context.vms.is_draining(&self.stream.vm),
        }
    }
}

impl<'a> Attempt<'a> {
    /// opens the assigned stream, or attaches to it if it is already open
    pub(super) fn open(
        context: &'a Context,
        journal: &'a Journal,
        driver: u32,
        assignment: &Assignment,
        blocks: Arc<[u64]>,
    ) -> Result<Attempt<'a>, Stop> {
        let number = journal
            .begin_attempt(driver, &assignment.stream)
            .map_err(|_| Stop::RequestEnded)?;
        let address = &assignment.stream.address;
        let deadline = journal.origin.deadline;
        let limit = deadline.saturating_duration_since(Instant::now());
        let opened = match assignment.is_open {
            true => context.engines.attach(
                address,
                &assignment.stream.name,
                journal.token_count(),
                limit,
            ),
            false => context.engines.open(
                address,
                &completion(journal, assignment),
                &journal.origin.trace,
                limit,
            ),
        };
        let (stated, has_run) = match &opened {
            Ok(stream) => (stream.stated, true),
            Err(failure) => (failure.stated, false),
        };
        context.record_stated(&assignment.stream.vm, address, stated, has_run);
        let reader = opened.map_err(Stop::Failed)?;
        let last_token = Instant::now();
        Ok(Attempt {
            context,
            journal,
            driver,
            number,
            reader,
            blocks,
            first_token: None,
            is_success_recorded: false,
            last_token,
            step_time: Duration::ZERO,
            steps: 0,
        })
    }

    /// reads until the stream is complete, the request ends, the stream fails or the VM drains
    ///
    /// `should_stop` is called after each item; it ends the reading like a drain of the VM.
    pub(super) fn read(
        &mut self,
        assignment: &Assignment,
        on_drain: OnDrain,
        should_stop: impl Fn() -> bool,
    ) -> Stop {
        loop {
            let stop = match self.reader.next_item() {
                Ok(item) => self.handle(item),
                Err(failure) => Some(Stop::Failed(failure)),
            };
            if let Some(stop) = stop {
                return stop;
            }
            if !self.journal.is_driven_by(self.driver) {
                return Stop::RequestEnded;
            }
            if Instant::now() >= self.journal.origin.deadline {
                return Stop::DeadlinePassed;
            }
            let drain = on_drain == OnDrain::Stop && assignment.is_draining(self.context);
            if drain || should_stop() {
                return Stop::Draining;
            }
        }
    }

    fn handle(&mut self, item: Item) -> Option<Stop> {
        match item {
            Item::KeepAlive => None,
            Item::Finish(finish) => {
                let stop = self.finish(finish);
                if matches!(stop, Stop::Finished(_)) {
                    self.record_success();
                }
                Some(stop)
            }
            Item::Token(chunk) => {
                let previous_tokens = self.journal.token_count();
                match self.journal.push(self.number, chunk.index, &chunk.text) {
                    Ok(()) => {
                        self.record_token(previous_tokens);
                        if self
                            .first_token()
                            .is_some_and(|at| at.elapsed() > BEGIN_TIME)
                        {
                            self.record_success();
                        }
                        None
                    }
                    Err(_) if !self.journal.is_driven_by(self.driver) => Some(Stop::RequestEnded),
                    Err(_) => Some(Stop::Failed(missing_tokens())),
                }
            }
        }
    }

    fn finish(&self, finish: Finish) -> Stop {
        if finish.finish_reason == "cancelled" {
            return Stop::Failed(Failure::new(
                engine::FailureKind::Broken,
                schema::failure::Verdict::MayHaveRun,
                "the engine cancelled the stream",
            ));
        }
        let is_complete = finish.usage.completion_tokens == self.journal.token_count();
        if !is_complete {
            return Stop::Failed(missing_tokens());
        }
        Stop::Finished(finish)
    }

    /// records once that the VM generates the stream without a failure
    fn record_success(&mut self) {
        if let Some(first_token) = self.first_token
            && !std::mem::replace(&mut self.is_success_recorded, true)
        {
            let quarantine = &self.context.quarantine;
            let causes = Causes::of(&self.journal.origin, &self.blocks);
            quarantine.record_success(&causes, first_token);
        }
    }

    /// time of the first token of the attempt
    pub(super) fn first_token(&self) -> Option<Instant> {
        self.first_token
    }

    /// number of the attempt
    pub(super) fn number(&self) -> u32 {
        self.number
    }

    /// mean time between tokens; none until one was measured
    pub(super) fn mean_step(&self) -> Option<Duration> {
        self.step_time.checked_div(self.steps)
    }

    fn record_token(&mut self, previous_tokens: u32) {
        let now = Instant::now();
        self.first_token.get_or_insert(now);
        let service = [self.journal.origin.service.as_str()];
        let metrics = &self.context.metrics;
        if previous_tokens == 0 {
            let accepted = self.journal.origin.accepted;
            let waited = now.saturating_duration_since(accepted).as_secs_f64();
            metrics
                .first_token
                .with_label_values(&service)
                .observe(waited);
            let note = format!("tokens=1 attempt={}", self.number);
            let origin = &self.journal.origin;
            self.context
                .spans
                .add(origin.span_ids(), "first_token", accepted, &note);
        } else {
            let waited = now.saturating_duration_since(self.last_token);
            self.step_time += waited;
            self.steps += 1;
            metrics
                .between_tokens
                .with_label_values(&service)
                .observe(waited.as_secs_f64());
        }
        metrics.generated_tokens.inc();
        self.last_token = now;
    }
}

fn missing_tokens() -> Failure {
    let verdict = schema::failure::Verdict::MayHaveRun;
    Failure::new(
        engine::FailureKind::Garbled,
        verdict,
        "tokens are missing or out of order",
    )
}

fn completion(journal: &Journal, assignment: &Assignment) -> schema::engine::Completion {
    let origin = &journal.origin;
    schema::engine::Completion {
        model: origin.service.clone(),
        prompt: origin.prompt.clone(),
        max_tokens: origin.max_tokens,
        request_id: assignment.stream.name.clone(),
        priority: origin.priority,
        prior: journal.tokens(),
        stream: true,
    }
}
