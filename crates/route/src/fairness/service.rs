use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::meter::{Meter, TIME_CONSTANT};
use super::shares::{fractions, kind_fraction};
use super::{Attempt, Demand, Standing};

/// fraction of the requested work that is refused from which capacity counts as short
const SHORT_FRACTION: f64 = 0.03;

/// fraction up to which it counts as sufficient again
const SUFFICIENT_FRACTION: f64 = 0.01;

/// time for which little has to be refused before that
const SUFFICIENT_TIME: Duration = Duration::from_secs(2);

/// age of a peer's report from which it does not count: reports may be 4 s late
const PEER_TTL: Duration = Duration::from_secs(6);

/// demand of a workspace below which it is forgotten and not reported, tokens a second: what is
/// left of one request after some 10 s
const MIN_DEMAND: f64 = 50.0;

/// capacity in multiples of what is served if nothing is late, so that the estimate follows when VMs
/// are added
const PROBE_FACTOR: f64 = 1.15;

/// by how much the fraction of late responses lowers that; 3 late ones in 20 hold it at 1
const LATE_WEIGHT: f64 = 1.0;

/// smallest such factor: with half of their capacity VMs catch up as fast as they fell behind at 1.5
/// times of it, and slow VMs are no reason to refuse most requests
const MIN_FACTOR: f64 = 0.5;

/// from what the shares of a service are derived
#[derive(Debug, Clone, Default)]
pub struct State {
    /// whether capacity is short
    pub is_short: bool,
    /// work per second that can be served
    pub capacity: f64,
    /// demand of workspaces over all daemons
    pub demands: HashMap<String, Demand>,
    /// fraction of each workspace's demand that is within its share
    pub fractions: HashMap<String, f64>,
}

/// demand for a service, and the shares of it
#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    local: HashMap<String, Meter>,
    peers: HashMap<String, (Instant, HashMap<String, Demand>)>,
    state: State,
    /// since when little has been refused
    sufficient_since: Option<Instant>,
    /// number of VMs, averaged like the demand, and when it was updated
    vms: Option<(f64, Instant)>,
}

impl Service {
    pub fn record(&mut self, attempt: &Attempt<'_>, work: f64, is_refused: bool, now: Instant) {
        if !self.local.contains_key(attempt.workspace) {
            self.local
                .insert(attempt.workspace.to_owned(), Meter::default());
        }
        if let Some(meter) = self.local.get_mut(attempt.workspace) {
            meter.count(attempt, work, is_refused, now);
        }
    }

    pub fn record_response(
        &mut self,
        attempt: &Attempt<'_>,
        work: f64,
        is_late: bool,
        now: Instant,
    ) {
        if let Some(meter) = self.local.get_mut(attempt.workspace) {
            meter.count_response(work, is_late, now);
        }
    }

    pub fn set_peer(&mut self, peer: &str, demand: HashMap<String, Demand>, now: Instant) {
        self.peers.insert(peer.to_owned(), (now, demand));
    }

    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// demand of this daemon's callers by workspace
    pub fn demand(&mut self, now: Instant) -> HashMap<String, Demand> {
        self.local
            .retain(|_, meter| meter.current(now).wanted() >= MIN_DEMAND);
        let local = self.local.iter_mut();
        local
            .map(|(name, meter)| (name.clone(), meter.current(now)))
            .collect()
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// derives the shares from the demand of all daemons
    pub fn update(&mut self, vms: usize, weight: impl Fn(&str) -> f64, now: Instant) {
        self.peers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < PEER_TTL);
        let mut demands = self.demand(now);
        for (name, demand) in self.peers.values().flat_map(|(_, demands)| demands) {
            demands.entry(name.clone()).or_default().add(demand);
        }
        let requested: f64 = demands.values().map(|demand| demand.requested).sum();
        let served: f64 = demands.values().map(|demand| demand.served).sum();
        let refused: f64 = demands.values().map(|demand| demand.refused).sum();
        let refused = refused / requested.max(MIN_DEMAND);
        self.state.is_short = self.is_short(refused, now);
        let late: f64 = demands.values().map(|demand| demand.late).sum();
        let late = late / served.max(MIN_DEMAND);
        let factor = (PROBE_FACTOR - LATE_WEIGHT * late).max(MIN_FACTOR);
        self.state.capacity = served * self.vm_factor(vms, now) * factor;
        self.state.fractions = if self.state.is_short {
            fractions(&demands, self.state.capacity, weight)
        } else {
            HashMap::new()
        };
        self.state.demands = demands;
    }

    pub fn standing(&self, attempt: &Attempt<'_>, draw: u64) -> Standing {
        if !self.state.is_short {
            return Standing::Usual;
        }
        // a workspace that no daemon has reported yet asks for little
        let fraction = self.state.fractions.get(attempt.workspace);
        let Some(fraction) = fraction.copied().filter(|fraction| *fraction < 1.0) else {
            return Standing::Within;
        };
        let kinds = self.local.get(attempt.workspace).map(Meter::kinds);
        let fraction = kind_fraction(&kinds.unwrap_or_default(), attempt.priority, fraction);
        if (draw as f64 / u64::MAX as f64) < fraction {
            Standing::Within
        } else {
            Standing::Beyond
        }
    }

    fn is_short(&mut self, refused: f64, now: Instant) -> bool {
        if refused >= SUFFICIENT_FRACTION {
            self.sufficient_since = None;
            return self.state.is_short || refused >= SHORT_FRACTION;
        }
        let since = *self.sufficient_since.get_or_insert(now);
        self.state.is_short && now.saturating_duration_since(since) < SUFFICIENT_TIME
    }

    /// VMs now in multiples of those that served what was measured; what is measured lags behind
    fn vm_factor(&mut self, vms: usize, now: Instant) -> f64 {
        let vms = vms as f64;
        let (mean, at) = self.vms.unwrap_or((vms, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let kept = (-passed / TIME_CONSTANT.as_secs_f64()).exp();
        let mean = vms + (mean - vms) * kept;
        self.vms = Some((mean, now));
        if mean > 0.0 {
            (vms / mean).min(1.0)
        } else {
            1.0
        }
    }
}
