//! Choice of a VM for one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::candidates::{self, Candidate};
use super::cost::{Affinity, CostModel, LeastRequests, RoundRobin};
use super::endpoint::Endpoint;
use super::state::{Estimate, PeerTraffic};
use super::stats::{Means, Stats};
use super::view::Pool;
use super::{Request, Tier};

/// estimated bytes of one prompt token on the wire
const PROMPT_TOKEN_BYTES: u64 = 6;

/// estimated bytes of one generated token on the wire, sent as a stream event
const OUTPUT_TOKEN_BYTES: u64 = 48;

/// multiplied by the jitter and added to each cost to separate equal candidates, microseconds
const TIE_BREAK_US: f64 = 100.0;

/// cost of a VM that refuses requests of another daemon, microseconds: about that of a refused attempt
const REFUSAL_PENALTY_US: f64 = 100_000.0;

/// input of a choice
pub(super) struct Context<'a> {
    /// the request
    pub request: &'a Request<'a>,
    /// the service
    pub stats: &'a Stats,
    /// means of the service at `now`
    pub means: Means,
    /// traffic assumed of other daemons
    pub peers: PeerTraffic,
    /// fraction of the link's bytes per second that is in use
    pub link_utilisation: f64,
    /// the current time
    pub now: Instant,
}

/// a VM with its estimated cost
#[derive(Debug, Clone, Copy)]
pub(super) struct Scored<'a> {
    /// the VM
    pub endpoint: &'a Arc<Endpoint>,
    /// its estimate for the request
    pub estimate: Estimate,
    /// tokens of the longest prefix of which it is the preferred VM
    pub preferred_tokens: u32,
    cost: f64,
}

/// a load-balancing policy: which VMs to compare, and their cost
pub(super) trait Policy: CostModel {
    /// the VMs to compare; of those with equal cost the first is chosen
    fn candidates<'a>(
        &self,
        endpoints: &[&'a Arc<Endpoint>],
        context: &Context<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>>;
}

impl Policy for Affinity {
    fn candidates<'a>(
        &self,
        endpoints: &[&'a Arc<Endpoint>],
        context: &Context<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        candidates::select(endpoints, context.request, rng)
    }
}

impl Policy for LeastRequests {
    fn candidates<'a>(
        &self,
        endpoints: &[&'a Arc<Endpoint>],
        _context: &Context<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        rotated(endpoints, rng.random_range(0..endpoints.len().max(1)))
    }
}

impl Policy for RoundRobin {
    fn candidates<'a>(
        &self,
        endpoints: &[&'a Arc<Endpoint>],
        context: &Context<'_>,
        _rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        let next = context.stats.round_robin.fetch_add(1, Ordering::Relaxed);
        rotated(endpoints, next % endpoints.len().max(1))
    }
}

impl Context<'_> {
    /// estimated bytes of the request and its response on the wire
    pub fn bytes(&self) -> u64 {
        let prompt = u64::from(self.request.prefill_tokens()) * PROMPT_TOKEN_BYTES;
        let remaining = self
            .request
            .max_tokens
            .saturating_sub(self.request.prior_tokens);
        let output = f64::from(remaining).min(self.means.output_tokens) as u64;
        prompt + output * OUTPUT_TOKEN_BYTES
    }

    /// factor on a tier's penalty, which grows with the utilisation of the link
    fn congestion_factor(&self, tier: Tier) -> f64 {
        match tier {
            Tier::DataCentre | Tier::Region => 1.0,
            Tier::Link => 1.0 / (1.0 - self.link_utilisation).max(0.01),
        }
    }

    /// estimates a VM's state for the request; none if its breaker admits no request
    fn estimate(&self, candidate: &Candidate<'_>) -> Option<Estimate> {
        let state = candidate.endpoint.lock();
        if !state.permits(self.now) {
            return None;
        }
        let cached_tokens = state.cached_tokens(self.request);
        let preferred_tokens =
            f64::from(candidate.preferred_tokens) * self.means.preferred_hit_ratio;
        let expected_tokens = cached_tokens.max(preferred_tokens as u32);
        let prefill = self.request.prefill_tokens();
        Some(Estimate {
            queue: state.queue(&self.means, &self.peers, self.now),
            in_flight: state.backlog.in_flight(),
            cached_tokens,
            prefill_tokens: prefill.saturating_sub(expected_tokens),
            is_avoided: state.stated.is_avoided(self.now),
        })
    }
}

impl Scored<'_> {
    /// estimated time to the first token
    pub fn first_token(&self) -> Duration {
        let prefill_us = f64::from(self.estimate.prefill_tokens) * self.estimate.queue.prefill_us;
        Duration::from_secs_f64((self.estimate.queue.wait_us + prefill_us) / 1e6)
    }
}

/// chooses the VM of least cost; VMs on which the request failed only if there is no other
pub(super) fn choose<'a, P: Policy>(
    policy: &P,
    pool: &'a Pool,
    context: &Context<'_>,
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let best = best(policy, pool, context, context.request.avoid, rng);
    if best.is_some() || context.request.avoid.is_empty() {
        return best;
    }
    self::best(policy, pool, context, &[], rng)
}

/// compares tiers from the nearest on, until a tier's penalty alone reaches the least cost
fn best<'a, P: Policy>(
    policy: &P,
    pool: &'a Pool,
    context: &Context<'_>,
    avoid: &[String],
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let mut best: Option<Scored<'a>> = None;
    for tier in Tier::ALL {
        if tier == Tier::Link && context.link_utilisation >= 1.0 {
            break;
        }
        let penalty = policy.penalty(tier, context.bytes()) * context.congestion_factor(tier);
        if best.is_some_and(|best| best.cost <= penalty) {
            break;
        }
        let endpoints: Vec<&Arc<Endpoint>> = pool
            .tier(tier)
            .iter()
            .filter(|endpoint| !endpoint.is_draining() && !avoid.contains(&endpoint.vm.name))
            .filter(|endpoint| endpoint.lock().stated.wait(context.now).is_zero())
            .collect();
        for candidate in policy.candidates(&endpoints, context, rng) {
            let Some(scored) = score(policy, &candidate, context, penalty, rng) else {
                continue;
            };
            if best.is_none_or(|best| scored.cost < best.cost) {
                best = Some(scored);
            }
        }
    }
    best
}

fn score<'a, P: Policy>(
    policy: &P,
    candidate: &Candidate<'a>,
    context: &Context<'_>,
    penalty: f64,
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let estimate = context.estimate(candidate)?;
    let target_us = context.request.first_token.as_micros() as f64;
    let jitter = policy.jitter() * rng.random::<f64>();
    let refusal = if estimate.is_avoided {
        REFUSAL_PENALTY_US
    } else {
        0.0
    };
    let cost = policy.cost(&estimate, target_us) * (1.0 + jitter)
        + TIE_BREAK_US * jitter
        + penalty
        + refusal;
    Some(Scored {
        endpoint: candidate.endpoint,
        estimate,
        preferred_tokens: candidate.preferred_tokens,
        cost,
    })
}

/// all VMs, rotated to begin at `start`
fn rotated<'a>(endpoints: &[&'a Arc<Endpoint>], start: usize) -> Vec<Candidate<'a>> {
    let (head, tail) = endpoints.split_at(start);
    let candidate = |endpoint: &&'a Arc<Endpoint>| Candidate {
        endpoint,
        preferred_tokens: 0,
    };
    tail.iter().chain(head).map(candidate).collect()
}
