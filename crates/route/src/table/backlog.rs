//! The queue of one VM, carried on from its last report.
//!
//! Prefill is a fluid queue: what was reported, plus the sends since then, less the
//! time that has passed. Streams hold slots: own ones are known at any time, those of
//! other daemons are what the report had beyond the own ones. A VM that reported more of
//! these than the service's mean is avoided, the less so the older the report. One that
//! reported fewer soon counts as the mean: all daemons see the same reports, and would
//! send there together before the next one.

use std::time::Duration;

use schema::engine::Load;
use tokio::time::Instant;

use super::stats::Means;
use crate::level;

/// time constant with which a report of a VM above the mean loses its weight, seconds
const ABOVE_SECONDS: f64 = 8.0;

/// time constant with which a report of a VM below the mean loses its weight, seconds
const BELOW_SECONDS: f64 = 0.1;

/// sends this shortly before a report may not be counted in it
const REPORT_MARGIN: Duration = Duration::from_millis(20);

/// time after which a report gives way to another daemon's level
const REPORT_FRESH: Duration = Duration::from_secs(2);

/// wait for a slot from which on it equals the streams beyond the slots
const OVER_LINEAR: f64 = 30.0;

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
    others: f64,
    in_flight: u32,
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
            others: 0.0,
            in_flight: 0,
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
        self.work_us = load.waiting_tokens as f64 * load.prefill_us as f64;
        self.full_report = true;
        self.cover(f64::from(load.running) + f64::from(load.waiting), at);
        true
    }

    /// takes in a level from another daemon, unless an own report is fresh
    ///
    /// The queueing time is read as streams on the slots, from which own sends and those
    /// of other daemons then carry on.
    pub fn coarse(&mut self, level: u8, means: &Means, at: Instant) -> bool {
        if let Some(known) = self.at {
            let fresh = self.full_report && at < known + REPORT_FRESH;
            if fresh || known > at {
                return false;
            }
        }
        let queue_us = level::decode(level).as_secs_f64() * 1e6;
        let step_us = self.step_us.unwrap_or(means.step_us);
        let wait = queue_us * self.slots / means.slot_us(step_us);
        self.work_us = 0.0;
        self.full_report = false;
        self.cover(slot_over(wait) - 1.0 + self.slots, at);
        true
    }

    /// records a send
    pub fn send(&mut self, number: u64, tokens: u32, at: Instant) {
        self.in_flight += 1;
        self.sent.push(Sent { number, at, tokens });
    }

    /// records that a sent request has ended
    pub fn end(&mut self, number: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent.retain(|sent| sent.number != number);
    }

    /// returns the own requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// returns the streams of other daemons at the last report
    pub fn others(&self) -> f64 {
        self.others
    }

    /// estimates the queue; `others` is the rate of other daemons' sends, per second
    pub fn queue(&self, means: &Means, others: f64, now: Instant) -> Queue {
        let prefill_us = self.prefill_us.unwrap_or(means.prefill_us);
        let step_us = self.step_us.unwrap_or(means.step_us);
        let age = self.age(now);
        let arrived = others * age.as_secs_f64();
        let held_us = means.slot_us(step_us);
        let streams = f64::from(self.in_flight) + self.others_now(means, age);
        let work_us = self.work_us(means, prefill_us, arrived, age);
        let slot_us = held_us / self.slots * slot_wait(streams + 1.0 - self.slots);
        Queue {
            wait_us: work_us + slot_us,
            prefill_us,
            step_us,
            streams,
            slots: self.slots,
        }
    }

    /// splits the streams of a report and drops the sends that it covers
    fn cover(&mut self, streams: f64, at: Instant) {
        self.others = (streams - f64::from(self.in_flight)).max(0.0);
        self.at = Some(at);
        self.sent.retain(|sent| sent.at + REPORT_MARGIN > at);
    }

    fn age(&self, now: Instant) -> Duration {
        let since = self.at.or_else(|| self.sent.first().map(|sent| sent.at));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// estimates the streams of other daemons that run or wait
    fn others_now(&self, means: &Means, age: Duration) -> f64 {
        if self.at.is_none() {
            return means.others;
        }
        let beyond = self.others - means.others;
        let seconds = if beyond > 0.0 {
            ABOVE_SECONDS
        } else {
            BELOW_SECONDS
        };
        means.others + beyond * (-age.as_secs_f64() / seconds).exp()
    }

    /// estimates the prefill work still to do, microseconds
    fn work_us(&self, means: &Means, prefill_us: f64, arrived: f64, age: Duration) -> f64 {
        let sent: f64 = self.sent.iter().map(|sent| f64::from(sent.tokens)).sum();
        let tokens = sent + arrived * means.prefill_tokens;
        let work_us = self.work_us + tokens * prefill_us;
        (work_us - age.as_micros() as f64).max(0.0)
    }
}

/// returns the mean wait for a free slot, in times between two ends of streams
///
/// It grows smoothly as the slots fill up, since ends and arrivals are random; so a
/// queueing time tells how full a VM is even before streams wait.
fn slot_wait(over: f64) -> f64 {
    over.max(0.0) + (-over.abs()).exp().ln_1p()
}

/// returns the streams beyond the slots that a wait for a slot stands for
fn slot_over(wait: f64) -> f64 {
    if wait > OVER_LINEAR {
        return wait;
    }
    wait.exp_m1().max(f64::MIN_POSITIVE).ln()
}
