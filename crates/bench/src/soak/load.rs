//! The seeded callers.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::{Caller, Order};
use super::facts::CallKind;
use super::notes::Notes;
use crate::client::Request;

/// shortest and longest pause between calls of a caller, milliseconds
const PAUSE_MS: std::ops::Range<u64> = 30..250;

/// fewest and most tokens of an answer
const TOKENS: std::ops::Range<u32> = 20..250;

/// pause while no daemon takes requests
const NO_DAEMON: Duration = Duration::from_millis(100);

/// calls out of a hundred that are streamed completions
const STREAMED: u32 = 40;

/// calls out of a hundred below which they are completions
const COMPLETIONS: u32 = 60;

/// calls out of a hundred below which they are completions or keyed bookings
const KEYED: u32 = 78;

/// calls out of a hundred below which they are not un-keyed bookings
const TICKETED: u32 = 90;

/// one caller's choices
#[derive(Debug)]
pub struct Load<'a> {
    caller: Caller<'a>,
    notes: &'a Notes,
    model: &'static str,
    name: String,
    random: ChaCha8Rng,
}

impl<'a> Load<'a> {
    /// the caller of this number
    pub fn new(
        caller: Caller<'a>,
        notes: &'a Notes,
        model: &'static str,
        (seed, number): (u64, u64),
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number + 1);
        Self {
            caller,
            notes,
            model,
            name: format!("soak {seed} caller {number}"),
            random,
        }
    }

    /// calls until the time is over
    pub fn run(&mut self, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let Some(daemon) = self.daemon() else {
                thread::sleep(NO_DAEMON);
                continue;
            };
            let name = format!("{} call {number}", self.name);
            self.call(daemon, name);
            let pause = self.random.random_range(PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn call(&mut self, daemon: usize, name: String) {
        match self.random.random_range(0..100) {
            0..STREAMED => self.complete(CallKind::Stream, daemon, &name),
            STREAMED..COMPLETIONS => self.complete(CallKind::Whole, daemon, &name),
            COMPLETIONS..KEYED => {
                let key = name.replace(' ', "-");
                self.book(CallKind::Keyed, daemon, name, key);
            }
            KEYED..TICKETED => {
                if let Some(ticket) = self.caller.ticket(daemon) {
                    self.book(CallKind::Ticketed, daemon, name, ticket);
                }
            }
            _ => {
                let order = Order {
                    kind: CallKind::Unkeyed,
                    body: name,
                    key: String::new(),
                };
                self.caller.book(daemon, &order);
            }
        }
    }

    fn complete(&mut self, kind: CallKind, daemon: usize, name: &str) {
        let tokens = self.random.random_range(TOKENS);
        let request = Request::new(self.model, name, tokens);
        let request = if self.random.random_bool(0.3) {
            request.chat()
        } else {
            request
        };
        self.caller.complete(kind, daemon, &request);
    }

    /// books, and repeats the booking at other daemons, at the same time or later
    fn book(&mut self, kind: CallKind, daemon: usize, body: String, key: String) {
        let order = Order { kind, body, key };
        let others: Vec<usize> = (0..self.random.random_range(0..3))
            .filter_map(|_| self.daemon())
            .collect();
        let together = self.random.random_bool(0.3);
        if together {
            thread::scope(|scope| {
                for other in &others {
                    scope.spawn(|| self.caller.book(*other, &order));
                }
                self.caller.book(daemon, &order);
            });
            return;
        }
        let done = self.caller.book(daemon, &order);
        for other in others {
            self.caller.book(other, &order);
        }
        if !done && let Some(other) = self.daemon() {
            self.caller.book(other, &order);
        }
    }

    /// one of the daemons that take requests, as a balancer chooses
    fn daemon(&mut self) -> Option<usize> {
        self.notes.up().choose(&mut self.random).copied()
    }
}
