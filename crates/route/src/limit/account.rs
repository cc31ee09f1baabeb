//! Limits, demand and spending of one workspace on this daemon.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::config::Workspace;
use schema::data;
use tokio::time::Instant;

use super::Demand;
use super::bucket::Bucket;
use crate::{Reason, Refusal};

/// fraction of a limit that is split evenly between the daemons
const EVEN_FRACTION: f64 = 0.05;

/// time constant of the measured demand
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 2.0;

/// time constant of the measured requests in flight
const IN_FLIGHT_TIME_CONSTANT_SECONDS: f64 = 5.0;

/// time without a report from peers after which the last share is kept
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// fraction of the bucket that the lowest priority leaves to higher ones
const MAX_RESERVE_FRACTION: f64 = 0.3;

/// highest priority
const MAX_PRIORITY: u8 = 9;

/// retry delay when the requests in flight are at their limit
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// last report of the peers' total demand
#[apply(data!)]
struct Peers {
    tokens_per_second: f64,
    concurrent: f64,
    daemons: f64,
    received_at: Instant,
}

/// account of one workspace
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
    refused_mean: f64,
    updated_at: Option<Instant>,
    peers: Option<Peers>,
}

impl Account {
    /// returns an account that has the whole limit until peers report
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
            refused_mean: 0.0,
            updated_at: None,
            peers: None,
        }
    }

    /// applies changed limits; the shares are scaled in proportion
    pub fn configure(&mut self, workspace: &Workspace) {
        let tokens = f64::from(workspace.tokens_per_second);
        let concurrent = f64::from(workspace.concurrent);
        self.tokens_share = rescaled(self.tokens_share, self.tokens_limit, tokens);
        self.concurrent_share = rescaled(self.concurrent_share, self.concurrent_limit, concurrent);
        self.tokens_limit = tokens;
        self.concurrent_limit = concurrent;
    }

    /// applies the total demand of the peers
    pub fn set_peer_demand(&mut self, peers: &Demand, daemons: u32, now: Instant) {
        self.peers = Some(Peers {
            tokens_per_second: peers.tokens_per_second as f64,
            concurrent: f64::from(peers.concurrent),
            daemons: f64::from(daemons.max(1)),
            received_at: now,
        });
        self.advance(now);
    }

    /// reserves tokens and one request in flight
    pub fn admit(&mut self, tokens: u32, priority: u8, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        self.offered += f64::from(tokens) / DEMAND_TIME_CONSTANT_SECONDS;
        self.update_shares(now);
        if self.is_full() {
            self.refused_mean += 1.0 / IN_FLIGHT_TIME_CONSTANT_SECONDS;
            return Err(Refusal::after(
                Reason::ConcurrencyLimit,
                CONCURRENCY_RETRY_AFTER,
            ));
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

    /// corrects a reservation to the tokens used
    pub fn settle(&mut self, reserved: u32, used: u32, now: Instant) {
        if self.tokens_limit > 0.0 {
            self.bucket.refill(self.tokens_share, now);
            self.bucket.take(f64::from(used) - f64::from(reserved));
        }
    }

    /// ends one request in flight
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// returns the demand to report to peers; none if there is none
    pub fn demand(&mut self, workspace: &str, now: Instant) -> Option<Demand> {
        self.advance(now);
        let demand = Demand {
            workspace: workspace.to_owned(),
            tokens_per_second: self.offered.round() as u64,
            concurrent: self.concurrent().round() as u32,
        };
        let is_idle = demand.tokens_per_second == 0 && demand.concurrent == 0;
        if is_idle { None } else { Some(demand) }
    }

    /// returns this daemon's share of the tokens per second
    pub fn tokens_share(&self) -> f64 {
        self.tokens_share
    }

    fn is_full(&self) -> bool {
        let limit = self.concurrent_share.round().max(1.0);
        self.concurrent_limit > 0.0 && f64::from(self.in_flight) >= limit
    }

    fn concurrent(&self) -> f64 {
        self.in_flight_mean + self.refused_mean
    }

    /// decays the measured demand
    fn advance(&mut self, now: Instant) {
        let since = self.updated_at.unwrap_or(now);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        self.offered *= (-passed / DEMAND_TIME_CONSTANT_SECONDS).exp();
        let factor = (-passed / IN_FLIGHT_TIME_CONSTANT_SECONDS).exp();
        self.refused_mean *= factor;
        let in_flight = f64::from(self.in_flight);
        self.in_flight_mean = in_flight + (self.in_flight_mean - in_flight) * factor;
        self.updated_at = Some(since.max(now));
        self.update_shares(now);
    }

    /// recomputes the shares from the demand, unless the peers' report is too old
    fn update_shares(&mut self, now: Instant) {
        let Some(peers) = &self.peers else {
            return;
        };
        if now >= peers.received_at + PEER_TIMEOUT {
            return;
        }
        let tokens = fraction(self.offered, peers.tokens_per_second, peers.daemons);
        let concurrent = fraction(self.concurrent(), peers.concurrent, peers.daemons);
        self.tokens_share = self.tokens_limit * tokens;
        self.concurrent_share = self.concurrent_limit * concurrent;
    }
}

/// returns this daemon's fraction of a limit
fn fraction(local: f64, peers: f64, daemons: f64) -> f64 {
    let total = local + peers;
    if total <= 0.0 {
        return 1.0 / daemons;
    }
    EVEN_FRACTION / daemons + (1.0 - EVEN_FRACTION) * local / total
}

/// returns the fraction of the bucket that a priority leaves to higher ones
fn reserve(priority: u8) -> f64 {
    let steps_below = MAX_PRIORITY.saturating_sub(priority);
    MAX_RESERVE_FRACTION * f64::from(steps_below) / f64::from(MAX_PRIORITY)
}

fn rescaled(share: f64, old_limit: f64, limit: f64) -> f64 {
    if old_limit <= 0.0 {
        return limit;
    }
    share / old_limit * limit
}
