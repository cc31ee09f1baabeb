//! Log of cache events, published with a delay and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::engine::{Event, Events};

/// maximum number of events in the log
const MAX_EVENTS: usize = 4_096;

/// cache events, numbered from 0; some are lost on purpose
#[derive(Debug)]
pub struct EventLog {
    lag: Duration,
    gap_percent: u32,
    random: ChaCha8Rng,
    first_number: u64,
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    published_at: Instant,
    event: Option<Event>,
}

impl EventLog {
    /// a log that publishes events after `lag` and loses `gap_percent` of them
    pub fn new(lag: Duration, gap_percent: u32, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            lag,
            gap_percent,
            random,
            first_number: 0,
            entries: VecDeque::new(),
        }
    }

    /// appends an event
    pub fn push(&mut self, event: Event) {
        let lost = self.random.random_range(0..100) < self.gap_percent;
        let entry = Entry {
            published_at: Instant::now() + self.lag,
            event: (!lost).then_some(event),
        };
        self.entries.push_back(entry);
        if self.entries.len() > MAX_EVENTS {
            self.entries.pop_front();
            self.first_number += 1;
        }
    }

    /// published events from number `since` on
    pub fn since(&self, since: u64) -> Events {
        let now = Instant::now();
        let mut events = Events {
            events: Vec::new(),
            gap: since < self.first_number,
            next: self.first_number,
        };
        for (number, entry) in (self.first_number..).zip(&self.entries) {
            if entry.published_at > now {
                break;
            }
            events.next = number + 1;
            if number < since {
                continue;
            }
            match &entry.event {
                Some(event) => events.events.push(event.clone()),
                None => events.gap = true,
            }
        }
        events.next = events.next.max(since);
        events
    }
}
