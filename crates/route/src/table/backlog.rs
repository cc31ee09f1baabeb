//! The queue of one VM, carried on from its last report.
//!
//! Prefill is a fluid queue: what was reported, plus the sends since then, less the
//! time that has passed. Streams beyond the VM's slots wait for others to end. As the
//! report ages, the estimate moves to the mean queue of the service, so that a VM whose
//! reports stopped does not look idle.

use std::time::Duration;

use schema::engine::Load;
use tokio::time::Instant;

use super::stats::Means;
use crate::level;

/// time constant with which a report loses its weight, seconds
const REPORT_SECONDS: f64 = 5.0;

/// sends this shortly before a report may not be counted in it
const REPORT_MARGIN: Duration = Duration::from_millis(20);

/// time after which a report gives way to another daemon's level
const REPORT_FRESH: Duration = Duration::from_secs(2);

/// a request sent and not yet covered by a report
#[derive(Debug, Clone, Copy)]
struct Sent {
    number: u64,
    at: Instant,
    tokens: u32,
}

/// the queue of one VM
#[derive(Debug)]
pub(super) struct Backlog {
    at: Option<Instant>,
    full_report: bool,
    work_us: f64,
    running: f64,
    waiting: f64,
    slots: f64,
    prefill_us: Option<f64>,
    step_us: Option<f64>,
    sent: Vec<Sent>,
}

/// what the queue looks like at one time
#[derive(Debug, Clone, Copy)]
pub(super) struct Queue {
    /// wait before a new request's prefill starts, microseconds
    pub wait_us: f64,
    /// time to prefill one token, microseconds
    pub prefill_us: f64,
    /// time of one step, microseconds
    pub step_us: f64,
    /// streams that run or wait, by estimate
    pub streams: f64,
    /// streams that fit
    pub slots: f64,
}

impl Backlog {
    /// returns an empty queue
    pub fn new(slots: u32) -> Backlog {
        Backlog {
            at: None,
            full_report: false,
            work_us: 0.0,
            running: 0.0,
            waiting: 0.0,
            slots: f64::from(slots.max(1)),
            prefill_us: None,
            step_us: None,
            sent: Vec::new(),
        }
    }

    /// returns when the last report was made
    pub fn reported_at(&self) -> Option<Instant> {
        self.at
    }

    /// takes in the VM's own report, unless a later one is known
    pub fn report(&mut self, load: &Load, at: Instant) -> bool {
        if self.at.is_some_and(|known| known > at) {
            return false;
        }
        self.prefill_us = Some(load.prefill_us as f64);
        self.step_us = Some(load.step_us as f64);
        self.slots = f64::from(load.slots.max(1));
        self.running = f64::from(load.running);
        self.waiting = f64::from(load.waiting);
        self.work_us = load.waiting_tokens as f64 * load.prefill_us as f64;
        self.full_report = true;
        self.cover(at);
        true
    }

    /// takes in a level from another daemon, unless an own report is fresh
    pub fn coarse(&mut self, level: u8, at: Instant) -> bool {
        if let Some(known) = self.at {
            let fresh = self.full_report && at < known + REPORT_FRESH;
            if fresh || known > at {
                return false;
            }
        }
        self.work_us = level::decode(level).as_secs_f64() * 1e6;
        self.running = 0.0;
        self.waiting = 0.0;
        self.full_report = false;
        self.cover(at);
        true
    }

    /// records a send
    pub fn send(&mut self, number: u64, tokens: u32, at: Instant) {
        self.sent.push(Sent { number, at, tokens });
    }

    /// records that a sent request has ended
    pub fn end(&mut self, number: u64) {
        self.sent.retain(|sent| sent.number != number);
    }

    /// estimates the queue; `others` is the rate of other daemons' sends, per second
    pub fn queue(&self, means: &Means, others: f64, now: Instant) -> Queue {
        let prefill_us = self.prefill_us.unwrap_or(means.prefill_us);
        let step_us = self.step_us.unwrap_or(means.step_us);
        let age = self.age(now);
        let arrived = others * age.as_secs_f64();
        let streams = self.streams(means.output_tokens * step_us, arrived, age);
        let work_us = self.work_us(means, prefill_us, arrived, age);
        let slot_us = self.slot_us(streams, means.output_tokens * step_us);
        let stale = 1.0 - (-age.as_secs_f64() / REPORT_SECONDS).exp();
        let stale = if self.at.is_some() { stale } else { 0.0 };
        Queue {
            wait_us: work_us + slot_us + stale * means.queue_us,
            prefill_us,
            step_us,
            streams,
            slots: self.slots,
        }
    }

    /// drops the sends that a report covers
    fn cover(&mut self, at: Instant) {
        self.at = Some(at);
        self.sent.retain(|sent| sent.at + REPORT_MARGIN > at);
    }

    fn age(&self, now: Instant) -> Duration {
        let since = self.at.or_else(|| self.sent.first().map(|sent| sent.at));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// estimates the streams that run or wait
    fn streams(&self, stream_us: f64, arrived: f64, age: Duration) -> f64 {
        let known = self.running + self.waiting;
        let ending = self.running.min(self.slots) / stream_us.max(1.0);
        let ended = (ending * age.as_micros() as f64).min(known);
        known - ended + self.sent.len() as f64 + arrived
    }

    /// estimates the prefill work still to do, microseconds
    fn work_us(&self, means: &Means, prefill_us: f64, arrived: f64, age: Duration) -> f64 {
        let sent: f64 = self.sent.iter().map(|sent| f64::from(sent.tokens)).sum();
        let tokens = sent + arrived * means.prefill_tokens;
        let work_us = self.work_us + tokens * prefill_us;
        (work_us - age.as_micros() as f64).max(0.0)
    }

    /// estimates the wait for a free slot, microseconds
    fn slot_us(&self, streams: f64, stream_us: f64) -> f64 {
        let over = streams + 1.0 - self.slots;
        if over <= 0.0 {
            return 0.0;
        }
        over * stream_us / self.slots
    }
}
