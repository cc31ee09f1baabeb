//! The account of one workspace on this daemon.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::config::Workspace;
use schema::data;
use tokio::time::Instant;

use super::Demand;
use super::bucket::Bucket;
use crate::{Reason, Refusal};

/// part of a limit that is split evenly between the daemons
const EVEN_PART: f64 = 0.05;

/// time constant of the measured demand, seconds
const DEMAND_SECONDS: f64 = 2.0;

/// time constant of the measured requests in flight, seconds
const IN_FLIGHT_SECONDS: f64 = 5.0;

/// silence of the other daemons after which the last share is kept
const CUT_OFF: Duration = Duration::from_secs(5);

/// part of the bucket that the lowest priority leaves to higher ones
const RESERVE_PART: f64 = 0.3;

/// highest priority
const PRIORITY_HIGHEST: u8 = 9;

/// time to come back when the requests in flight are at their limit
const CONCURRENCY_WAIT: Duration = Duration::from_millis(500);

/// what the other daemons said last
#[apply(data!)]
struct Others {
    tokens_per_second: f64,
    concurrent: f64,
    daemons: f64,
    at: Instant,
}

/// limits, demand and spending of one workspace
#[apply(data!)]
pub(super) struct Account {
    tokens_limit: f64,
    concurrent_limit: f64,
    tokens_share: f64,
    concurrent_share: f64,
    bucket: Bucket,
    in_flight: u32,
    in_flight_mean: f64,
    offered: f64,
    held_back: f64,
    offered_at: Option<Instant>,
    others: Option<Others>,
}

impl Account {
    /// returns an account that has the whole limit, until others are heard of
    pub fn new(workspace: &Workspace) -> Account {
        Account {
            tokens_limit: f64::from(workspace.tokens_per_second),
            concurrent_limit: f64::from(workspace.concurrent),
            tokens_share: f64::from(workspace.tokens_per_second),
            concurrent_share: f64::from(workspace.concurrent),
            bucket: Bucket::new(),
            in_flight: 0,
            in_flight_mean: 0.0,
            offered: 0.0,
            held_back: 0.0,
            offered_at: None,
            others: None,
        }
    }

    /// takes in changed limits; the shares keep their part
    pub fn configure(&mut self, workspace: &Workspace) {
        let tokens = f64::from(workspace.tokens_per_second);
        let concurrent = f64::from(workspace.concurrent);
        self.tokens_share = rescaled(self.tokens_share, self.tokens_limit, tokens);
        self.concurrent_share = rescaled(self.concurrent_share, self.concurrent_limit, concurrent);
        self.tokens_limit = tokens;
        self.concurrent_limit = concurrent;
    }

    /// takes in the sum of the other daemons' demand
    pub fn share(&mut self, others: &Demand, daemons: u32, now: Instant) {
        self.others = Some(Others {
            tokens_per_second: others.tokens_per_second as f64,
            concurrent: f64::from(others.concurrent),
            daemons: f64::from(daemons.max(1)),
            at: now,
        });
        self.advance(now);
    }

    /// reserves tokens and a place in flight
    pub fn admit(&mut self, tokens: u32, priority: u8, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        self.offered += f64::from(tokens) / DEMAND_SECONDS;
        self.refresh(now);
        if self.is_full() {
            self.held_back += 1.0 / IN_FLIGHT_SECONDS;
            return Err(Refusal::after(Reason::ConcurrencyLimit, CONCURRENCY_WAIT));
        }
        if self.tokens_limit > 0.0 {
            self.bucket.refill(self.tokens_share, now);
            let wait = self.bucket.wait(self.tokens_share, reserve(priority));
            if !wait.is_zero() {
                return Err(Refusal::after(Reason::TokenLimit, wait));
            }
            self.bucket.take(f64::from(tokens));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// corrects a reservation by what was used
    pub fn settle(&mut self, reserved: u32, used: u32, now: Instant) {
        if self.tokens_limit > 0.0 {
            self.bucket.refill(self.tokens_share, now);
            self.bucket.take(f64::from(used) - f64::from(reserved));
        }
    }

    /// gives back a place in flight
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// returns the demand to spread, or none
    pub fn demand(&mut self, workspace: &str, now: Instant) -> Option<Demand> {
        self.advance(now);
        let demand = Demand {
            workspace: workspace.to_owned(),
            tokens_per_second: self.offered.round() as u64,
            concurrent: self.concurrent().round() as u32,
        };
        let idle = demand.tokens_per_second == 0 && demand.concurrent == 0;
        if idle { None } else { Some(demand) }
    }

    /// returns this daemon's share of the tokens per second
    pub fn tokens_share(&self) -> f64 {
        self.tokens_share
    }

    fn is_full(&self) -> bool {
        let most = self.concurrent_share.round().max(1.0);
        self.concurrent_limit > 0.0 && f64::from(self.in_flight) >= most
    }

    fn concurrent(&self) -> f64 {
        self.in_flight_mean + self.held_back
    }

    /// lets the measured demand decay
    fn advance(&mut self, now: Instant) {
        let since = self.offered_at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        self.offered *= (-passed / DEMAND_SECONDS).exp();
        let factor = (-passed / IN_FLIGHT_SECONDS).exp();
        self.held_back *= factor;
        let in_flight = f64::from(self.in_flight);
        self.in_flight_mean = in_flight + (self.in_flight_mean - in_flight) * factor;
        self.offered_at = Some(since.max(now));
        self.refresh(now);
    }

    /// follows the demand, unless the others have fallen silent
    fn refresh(&mut self, now: Instant) {
        let Some(others) = &self.others else {
            return;
        };
        if now >= others.at + CUT_OFF {
            return;
        }
        let tokens = part(self.offered, others.tokens_per_second, others.daemons);
        let concurrent = part(self.concurrent(), others.concurrent, others.daemons);
        self.tokens_share = self.tokens_limit * tokens;
        self.concurrent_share = self.concurrent_limit * concurrent;
    }
}

/// returns a daemon's part of a limit
fn part(own: f64, others: f64, daemons: f64) -> f64 {
    let all = own + others;
    if all <= 0.0 {
        return 1.0 / daemons;
    }
    EVEN_PART / daemons + (1.0 - EVEN_PART) * own / all
}

/// returns the part of the bucket that a priority leaves to higher ones
fn reserve(priority: u8) -> f64 {
    let below = PRIORITY_HIGHEST.saturating_sub(priority);
    RESERVE_PART * f64::from(below) / f64::from(PRIORITY_HIGHEST)
}

fn rescaled(share: f64, old_limit: f64, limit: f64) -> f64 {
    if old_limit <= 0.0 {
        return limit;
    }
    share / old_limit * limit
}
