//! Simulated callers with seeded random numbers.

use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::{BookingRequest, RecordingClient};
use super::history::CallKind;
use super::recorder::Recorder;
use crate::client::Ask;

/// pause of a caller between two calls
const PAUSE_MS: std::ops::Range<u64> = 30..250;

/// tokens of a completion
const COMPLETION_TOKENS: std::ops::Range<u32> = 20..250;

/// pause while no daemon accepts requests
const NO_DAEMON_PAUSE: Duration = Duration::from_millis(100);

/// share of streamed completions; shares are per hundred calls and cumulative
const STREAMED_PERCENT: u32 = 40;

/// share up to and including the other completions
const COMPLETIONS_PERCENT: u32 = 60;

/// share up to and including keyed bookings
const KEYED_PERCENT: u32 = 78;

/// share up to and including ticketed bookings; the rest are bookings without key
const TICKETED_PERCENT: u32 = 90;

/// a simulated caller that makes random calls
#[derive(Debug)]
pub struct Caller<'a> {
    client: RecordingClient<'a>,
    recorder: &'a Recorder,
    model_service: &'static str,
    name: String,
    random: ChaCha8Rng,
}

impl<'a> Caller<'a> {
    /// a caller whose random numbers follow from `seed` and `number`
    pub fn new(
        client: RecordingClient<'a>,
        recorder: &'a Recorder,
        model_service: &'static str,
        (seed, number): (u64, u64),
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number + 1);
        Self {
            client,
            recorder,
            model_service,
            name: format!("soak {seed} caller {number}"),
            random,
        }
    }

    /// makes calls until the time `until`
    pub fn run(&mut self, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let Some(daemon) = self.random_daemon() else {
                thread::sleep(NO_DAEMON_PAUSE);
                continue;
            };
            let payload = format!("{} call {number}", self.name);
            self.call(daemon, payload);
            let pause = self.random.random_range(PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn call(&mut self, daemon: usize, payload: String) {
        match self.random.random_range(0..100) {
            0..STREAMED_PERCENT => self.complete(CallKind::Stream, daemon, &payload),
            STREAMED_PERCENT..COMPLETIONS_PERCENT => {
                self.complete(CallKind::Unstreamed, daemon, &payload)
            }
            COMPLETIONS_PERCENT..KEYED_PERCENT => {
                let key = payload.replace(' ', "-");
                self.book(CallKind::Keyed, daemon, payload, key);
            }
            KEYED_PERCENT..TICKETED_PERCENT => {
                if let Some(ticket) = self.client.ticket(daemon) {
                    self.book(CallKind::Ticketed, daemon, payload, ticket);
                }
            }
            _ => {
                let booking = BookingRequest {
                    kind: CallKind::Unkeyed,
                    body: payload,
                    key: String::new(),
                };
                self.client.book(daemon, &booking);
            }
        }
    }

    fn complete(&mut self, kind: CallKind, daemon: usize, prompt: &str) {
        let tokens = self.random.random_range(COMPLETION_TOKENS);
        let ask = Ask::new(self.model_service, prompt, tokens);
        let ask = if self.random.random_bool(0.3) {
            ask.chat()
        } else {
            ask
        };
        self.client.complete(kind, daemon, &ask);
    }

    /// sends a booking and up to two repeats to random daemons, concurrently or in sequence
    ///
    /// In sequence, a booking whose first call failed is repeated once more.
    fn book(&mut self, kind: CallKind, daemon: usize, body: String, key: String) {
        let booking = BookingRequest { kind, body, key };
        let repeat_daemons: Vec<usize> = (0..self.random.random_range(0..3))
            .filter_map(|_| self.random_daemon())
            .collect();
        let concurrent = self.random.random_bool(0.3);
        if concurrent {
            thread::scope(|scope| {
                for other in &repeat_daemons {
                    scope.spawn(|| self.client.book(*other, &booking));
                }
                self.client.book(daemon, &booking);
            });
            return;
        }
        let done = self.client.book(daemon, &booking);
        for other in repeat_daemons {
            self.client.book(other, &booking);
        }
        if !done && let Some(other) = self.random_daemon() {
            self.client.book(other, &booking);
        }
    }

    /// one of the daemons that accept requests, as a load balancer in front would choose
    fn random_daemon(&mut self) -> Option<usize> {
        self.recorder
            .ready_daemons()
            .choose(&mut self.random)
            .copied()
    }
}
