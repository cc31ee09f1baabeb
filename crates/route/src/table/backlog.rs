//! The queue of one VM, extrapolated from its last load report.
//!
//! Prefill is modelled as a fluid queue: the reported work, plus the requests sent since
//! then, minus the elapsed time. Streams occupy slots: the local ones are always known,
//! those of other daemons are the reported streams minus the local ones. If a VM reported
//! more of these than the service's mean, the excess decays slowly with the age of the
//! report. If it reported fewer, the estimate returns to the mean quickly: all daemons see
//! the same reports and would otherwise all send to that VM before the next report.

use std::time::Duration;

use schema::engine::Load;
use tokio::time::Instant;

use super::stats::Means;
use crate::level;

/// time constant with which streams above the mean decay to it, seconds
const ABOVE_MEAN_SECONDS: f64 = 8.0;

/// time constant with which streams below the mean return to it, seconds
const BELOW_MEAN_SECONDS: f64 = 0.1;

/// requests sent within this time before a report may be missing from it
const REPORT_MARGIN: Duration = Duration::from_millis(20);

/// age up to which a report takes precedence over a level from another daemon
const REPORT_PRECEDENCE: Duration = Duration::from_secs(2);

/// slot wait above which [`slot_wait`] equals its argument within rounding error
const LINEAR_WAIT: f64 = 30.0;

/// a request that was sent and is not yet included in a report
#[derive(Debug, Clone, Copy)]
struct Sent {
    number: u64,
    at: Instant,
    tokens: u32,
}

/// the queue of one VM
#[derive(Debug)]
pub(super) struct Backlog {
    reported_at: Option<Instant>,
    full_report: bool,
    prefill_work_us: f64,
    peer_streams: f64,
    in_flight: u32,
    slots: f64,
    prefill_us: Option<f64>,
    step_us: Option<f64>,
    unreported: Vec<Sent>,
}

/// estimated queue at one time
#[derive(Debug, Clone, Copy)]
pub(super) struct Queue {
    /// wait until the prefill of a new request starts, microseconds
    pub wait_us: f64,
    /// time to prefill one token, microseconds
    pub prefill_us: f64,
    /// time of one decode step, microseconds
    pub step_us: f64,
    /// streams that run or wait
    pub streams: f64,
    /// streams that can run at the same time
    pub slots: f64,
}

impl Backlog {
    /// creates an empty queue without a report
    pub fn new(slots: u32) -> Backlog {
        Backlog {
            reported_at: None,
            full_report: false,
            prefill_work_us: 0.0,
            peer_streams: 0.0,
            in_flight: 0,
            slots: f64::from(slots.max(1)),
            prefill_us: None,
            step_us: None,
            unreported: Vec::new(),
        }
    }

    /// time of the last report or level
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// applies a load report of the VM, unless a later one was applied; returns whether it
    /// was applied
    pub fn apply_report(&mut self, load: &Load, at: Instant) -> bool {
        if self.reported_at.is_some_and(|last| last > at) {
            return false;
        }
        self.prefill_us = Some(load.prefill_us as f64);
        self.step_us = Some(load.step_us as f64);
        self.slots = f64::from(load.slots.max(1));
        self.prefill_work_us = load.waiting_tokens as f64 * load.prefill_us as f64;
        self.full_report = true;
        self.set_streams(f64::from(load.running) + f64::from(load.waiting), at);
        true
    }

    /// applies a load level from another daemon, unless a recent report or a later level was
    /// applied; returns whether it was applied
    ///
    /// The queueing time is converted to streams on the VM's slots. Requests that this daemon
    /// sends afterwards, and those assumed of other daemons, are added to these.
    pub fn apply_level(&mut self, level: u8, means: &Means, at: Instant) -> bool {
        if let Some(last) = self.reported_at {
            let recent = self.full_report && at < last + REPORT_PRECEDENCE;
            if recent || last > at {
                return false;
            }
        }
        let queue_us = level::decode(level).as_secs_f64() * 1e6;
        let step_us = self.step_us.unwrap_or(means.step_us);
        let wait = queue_us * self.slots / means.slot_hold_us(step_us);
        self.prefill_work_us = 0.0;
        self.full_report = false;
        self.set_streams(excess_streams(wait) - 1.0 + self.slots, at);
        true
    }

    /// records that a request was sent
    pub fn record_send(&mut self, number: u64, tokens: u32, at: Instant) {
        self.in_flight += 1;
        self.unreported.push(Sent { number, at, tokens });
    }

    /// records that a request has ended
    pub fn record_end(&mut self, number: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported.retain(|sent| sent.number != number);
    }

    /// local requests in flight
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// streams of other daemons at the last report
    pub fn peer_streams(&self) -> f64 {
        self.peer_streams
    }

    /// estimates the queue; `peer_sends` is the requests that other daemons send, per second
    pub fn queue(&self, means: &Means, peer_sends: f64, now: Instant) -> Queue {
        let prefill_us = self.prefill_us.unwrap_or(means.prefill_us);
        let step_us = self.step_us.unwrap_or(means.step_us);
        let age = self.age(now);
        let arrived = peer_sends * age.as_secs_f64();
        let hold_us = means.slot_hold_us(step_us);
        let streams = f64::from(self.in_flight) + self.current_peer_streams(means, age);
        let work_us = self.remaining_us(means, prefill_us, arrived, age);
        let slot_us = hold_us / self.slots * slot_wait(streams + 1.0 - self.slots);
        Queue {
            wait_us: work_us + slot_us,
            prefill_us,
            step_us,
            streams,
            slots: self.slots,
        }
    }

    /// sets the streams of other daemons from a reported total and drops the requests that
    /// the report includes
    fn set_streams(&mut self, streams: f64, at: Instant) {
        self.peer_streams = (streams - f64::from(self.in_flight)).max(0.0);
        self.reported_at = Some(at);
        self.unreported.retain(|sent| sent.at + REPORT_MARGIN > at);
    }

    fn age(&self, now: Instant) -> Duration {
        let since = self
            .reported_at
            .or_else(|| self.unreported.first().map(|sent| sent.at));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// estimates the streams of other daemons that run or wait now
    fn current_peer_streams(&self, means: &Means, age: Duration) -> f64 {
        if self.reported_at.is_none() {
            return means.peer_streams;
        }
        let deviation = self.peer_streams - means.peer_streams;
        let seconds = if deviation > 0.0 {
            ABOVE_MEAN_SECONDS
        } else {
            BELOW_MEAN_SECONDS
        };
        means.peer_streams + deviation * (-age.as_secs_f64() / seconds).exp()
    }

    /// estimates the remaining prefill work, microseconds
    fn remaining_us(&self, means: &Means, prefill_us: f64, arrived: f64, age: Duration) -> f64 {
        let sent: f64 = self
            .unreported
            .iter()
            .map(|sent| f64::from(sent.tokens))
            .sum();
        let tokens = sent + arrived * means.prefill_tokens;
        let work_us = self.prefill_work_us + tokens * prefill_us;
        (work_us - age.as_micros() as f64).max(0.0)
    }
}

/// mean wait for a free slot, in units of the mean time between two ends of streams
///
/// Arrivals and ends are random, so the wait grows smoothly as the slots fill up. A
/// queueing time therefore shows how full a VM is even before streams have to wait.
fn slot_wait(excess: f64) -> f64 {
    excess.max(0.0) + (-excess.abs()).exp().ln_1p()
}

/// streams in excess of the slots that result in a slot wait; the inverse of [`slot_wait`]
fn excess_streams(wait: f64) -> f64 {
    if wait > LINEAR_WAIT {
        return wait;
    }
    wait.exp_m1().max(f64::MIN_POSITIVE).ln()
}
