//! One attempt: a stream on one upstream VM.

use std::time::Duration;

use engine::{Failure, Item, Stream};
use macro_rules_attribute::apply;
use route::table::{Permit, Pick};
use schema::engine::Finish;
use schema::journal as wire;
use schema::value;
use tokio::time::Instant;

use crate::context::Context;
use crate::journal::Journal;

/// an upstream VM in use by a request
pub(super) struct Seat {
    /// where the stream is
    pub(super) stream: wire::Stream,
    /// counts the request on the VM; none for a stream taken over
    pub(super) permit: Option<Permit>,
    /// the stream is there already; none is opened
    pub(super) running: bool,
}

/// what ends the reading of a stream that goes well
#[apply(value!)]
pub(super) enum Heed {
    /// the notice of its VM
    Notice,
    /// nothing: the notice is known
    Nothing,
}

/// how an attempt came to its end
pub(super) enum Halt {
    /// the answer is whole
    Done(Finish),
    /// the request was ended elsewhere
    Ended,
    /// the request's deadline has passed
    Late,
    /// the upstream VM is leaving
    Leaving,
    /// the stream failed
    Lost(Failure),
}

/// an open stream and its number
pub(super) struct Attempt<'a> {
    context: &'a Context,
    journal: &'a Journal,
    driver: u32,
    number: u32,
    reader: Stream,
    last: Instant,
    waited: Duration,
    steps: u32,
}

impl Seat {
    /// a seat for a new stream
    pub(super) fn fresh(journal: &Journal, pick: Pick, number: u32) -> Seat {
        let name = format!("{}-{number}", journal.origin.id);
        let stream = wire::Stream {
            vm: pick.vm,
            address: pick.address,
            name,
        };
        Seat {
            stream,
            permit: Some(pick.permit),
            running: false,
        }
    }

    /// a seat on a stream that another daemon opened
    pub(super) fn adopted(stream: wire::Stream) -> Seat {
        Seat {
            stream,
            permit: None,
            running: true,
        }
    }

    /// whether its VM is known to be leaving by now
    pub(super) fn is_leaving(&self, context: &Context) -> bool {
        match &self.permit {
            Some(permit) => permit.is_draining(),
            None => context.routes.is_draining(&self.stream.vm),
        }
    }
}

impl<'a> Attempt<'a> {
    /// opens the stream of a seat or attaches to it
    pub(super) fn open(
        context: &'a Context,
        journal: &'a Journal,
        driver: u32,
        seat: &Seat,
    ) -> Result<Attempt<'a>, Halt> {
        let number = journal
            .begin(driver, &seat.stream)
            .map_err(|_| Halt::Ended)?;
        let address = &seat.stream.address;
        let opened = match seat.running {
            true => context
                .engines
                .attach(address, &seat.stream.name, journal.count()),
            false => {
                context
                    .engines
                    .open(address, &completion(journal, seat), &journal.origin.trace)
            }
        };
        let reader = opened.map_err(Halt::Lost)?;
        let last = Instant::now();
        Ok(Attempt {
            context,
            journal,
            driver,
            number,
            reader,
            last,
            waited: Duration::ZERO,
            steps: 0,
        })
    }

    /// reads until the answer is whole, the stream fails, or `stop` says so
    pub(super) fn read(&mut self, seat: &Seat, heed: Heed, stop: impl Fn() -> bool) -> Halt {
        loop {
            let halt = match self.reader.next_item() {
                Ok(item) => self.take(item),
                Err(failure) => Some(Halt::Lost(failure)),
            };
            if let Some(halt) = halt {
                return halt;
            }
            if !self.journal.is_driven(self.driver) {
                return Halt::Ended;
            }
            if Instant::now() >= self.journal.origin.deadline {
                return Halt::Late;
            }
            let noticed = heed == Heed::Notice && seat.is_leaving(self.context);
            if noticed || stop() {
                return Halt::Leaving;
            }
        }
    }

    fn take(&mut self, item: Item) -> Option<Halt> {
        match item {
            Item::KeepAlive => None,
            Item::Finish(finish) => Some(self.finish(finish)),
            Item::Token(chunk) => {
                let known = self.journal.count();
                match self.journal.push(self.number, chunk.index, &chunk.text) {
                    Ok(()) => {
                        self.measure(known);
                        None
                    }
                    Err(_) if !self.journal.is_driven(self.driver) => Some(Halt::Ended),
                    Err(_) => Some(Halt::Lost(out_of_order())),
                }
            }
        }
    }

    fn finish(&self, finish: Finish) -> Halt {
        if finish.finish_reason == "cancelled" {
            return Halt::Lost(Failure::new(
                engine::FailureKind::Broken,
                schema::failure::Verdict::MayHaveRun,
                "the engine cancelled the stream",
            ));
        }
        let whole = finish.usage.completion_tokens == self.journal.count();
        if !whole {
            return Halt::Lost(out_of_order());
        }
        Halt::Done(finish)
    }

    /// number of the attempt
    pub(super) fn number(&self) -> u32 {
        self.number
    }

    /// mean time between tokens, once there were two
    pub(super) fn step(&self) -> Option<Duration> {
        self.waited.checked_div(self.steps)
    }

    fn measure(&mut self, known: u32) {
        let now = Instant::now();
        let service = [self.journal.origin.service.as_str()];
        let metrics = &self.context.metrics;
        if known == 0 {
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
                .add(origin.hop(), "first_token", accepted, &note);
        } else {
            let waited = now.saturating_duration_since(self.last);
            self.waited += waited;
            self.steps += 1;
            metrics
                .between_tokens
                .with_label_values(&service)
                .observe(waited.as_secs_f64());
        }
        metrics.generated.inc();
        self.last = now;
    }
}

fn out_of_order() -> Failure {
    let verdict = schema::failure::Verdict::MayHaveRun;
    Failure::new(
        engine::FailureKind::Garbled,
        verdict,
        "tokens are missing or out of order",
    )
}

fn completion(journal: &Journal, seat: &Seat) -> schema::engine::Completion {
    let origin = &journal.origin;
    schema::engine::Completion {
        model: origin.service.clone(),
        prompt: origin.prompt.clone(),
        max_tokens: origin.max_tokens,
        request_id: seat.stream.name.clone(),
        priority: origin.priority,
        prior: journal.tokens(),
        stream: true,
    }
}
