//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::engine::{Event, Events};

/// events that are kept for readers
const KEPT: usize = 4_096;

/// numbered cache events; some of them lost
#[derive(Debug)]
pub struct Journal {
    lag: Duration,
    gap_percent: u32,
    random: ChaCha8Rng,
    first: u64,
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    visible_at: Instant,
    event: Option<Event>,
}

impl Journal {
    /// publishes after `lag` and loses `gap_percent` of the events
    pub fn new(lag: Duration, gap_percent: u32, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            lag,
            gap_percent,
            random,
            first: 0,
            entries: VecDeque::new(),
        }
    }

    /// adds an event
    pub fn push(&mut self, event: Event) {
        let lost = self.random.random_range(0..100) < self.gap_percent;
        let entry = Entry {
            visible_at: Instant::now() + self.lag,
            event: (!lost).then_some(event),
        };
        self.entries.push_back(entry);
        if self.entries.len() > KEPT {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// the visible events from number `since` on
    pub fn since(&self, since: u64) -> Events {
        let now = Instant::now();
        let mut answer = Events {
            events: Vec::new(),
            gap: since < self.first,
            next: self.first,
        };
        for (number, entry) in (self.first..).zip(&self.entries) {
            if entry.visible_at > now {
                break;
            }
            answer.next = number + 1;
            if number < since {
                continue;
            }
            match &entry.event {
                Some(event) => answer.events.push(event.clone()),
                None => answer.gap = true,
            }
        }
        answer.next = answer.next.max(since);
        answer
    }
}
