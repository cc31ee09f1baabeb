//! The choice of a VM for one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::live::{Look, Others};
use super::node::Node;
use super::rule::{Affinity, Least, Rule, Turns};
use super::shortlist::{self, Candidate};
use super::stats::{Means, Stats};
use super::view::Group;
use super::{Ask, Tier};

/// bytes of one prompt token on the wire
const PROMPT_TOKEN_BYTES: u64 = 6;

/// bytes of one generated token on the wire, as an event of a stream
const OUTPUT_TOKEN_BYTES: u64 = 48;

/// random part of a cost that keeps equal candidates apart, microseconds
const TIE_US: f64 = 100.0;

/// what a choice goes by
pub(super) struct Scene<'a> {
    /// the request
    pub ask: &'a Ask<'a>,
    /// the service
    pub stats: &'a Stats,
    /// its means at the time
    pub means: Means,
    /// other daemons
    pub others: Others,
    /// part of the link's bytes per second that is taken
    pub link_use: f64,
    /// the time
    pub now: Instant,
}

/// a VM that was compared
#[derive(Debug, Clone, Copy)]
pub(super) struct Scored<'a> {
    /// the VM
    pub node: &'a Arc<Node>,
    /// how it looked
    pub look: Look,
    /// tokens of the prefix it is the home of
    pub home_tokens: u32,
    cost: f64,
}

/// a policy: which VMs to compare, and by what
pub(super) trait Policy: Rule {
    /// returns the VMs to compare; of equals the first is taken
    fn shortlist<'a>(
        &self,
        nodes: &[&'a Arc<Node>],
        scene: &Scene<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>>;
}

impl Policy for Affinity {
    fn shortlist<'a>(
        &self,
        nodes: &[&'a Arc<Node>],
        scene: &Scene<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        shortlist::candidates(nodes, scene.ask, rng)
    }
}

impl Policy for Least {
    fn shortlist<'a>(
        &self,
        nodes: &[&'a Arc<Node>],
        _scene: &Scene<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        rotated(nodes, rng.random_range(0..nodes.len().max(1)))
    }
}

impl Policy for Turns {
    fn shortlist<'a>(
        &self,
        nodes: &[&'a Arc<Node>],
        scene: &Scene<'_>,
        _rng: &mut impl Rng,
    ) -> Vec<Candidate<'a>> {
        let turn = scene.stats.turn.fetch_add(1, Ordering::Relaxed);
        rotated(nodes, turn % nodes.len().max(1))
    }
}

impl Scene<'_> {
    /// returns the bytes the request and its answer take on the wire
    pub fn bytes(&self) -> u64 {
        let prompt = u64::from(self.ask.prefill_tokens()) * PROMPT_TOKEN_BYTES;
        let left = self.ask.max_tokens.saturating_sub(self.ask.prior_tokens);
        let output = f64::from(left).min(self.means.output_tokens) as u64;
        prompt + output * OUTPUT_TOKEN_BYTES
    }

    /// returns the factor on a tier's price: the link gets dearer as it fills
    fn scarcity(&self, tier: Tier) -> f64 {
        match tier {
            Tier::Near | Tier::Region => 1.0,
            Tier::Link => 1.0 / (1.0 - self.link_use).max(0.01),
        }
    }

    /// looks at a VM; none if its breaker is open
    fn look(&self, candidate: &Candidate<'_>) -> Option<Look> {
        let live = candidate.node.live();
        if !live.breaker.permits(self.now) {
            return None;
        }
        let known = live.cached_tokens(self.ask);
        let guessed = f64::from(candidate.home_tokens) * self.means.home_hit;
        let cached_tokens = known.max(guessed as u32);
        let prefill = self.ask.prefill_tokens();
        Some(Look {
            queue: live.queue(&self.means, &self.others, self.now),
            in_flight: live.backlog.in_flight(),
            known_tokens: known,
            prefill_tokens: prefill.saturating_sub(cached_tokens),
        })
    }
}

impl Scored<'_> {
    /// returns the estimated time to the first token
    pub fn estimate(&self) -> Duration {
        let prefill_us = f64::from(self.look.prefill_tokens) * self.look.queue.prefill_us;
        Duration::from_secs_f64((self.look.queue.wait_us + prefill_us) / 1e6)
    }
}

/// chooses a VM; those that failed the request only if there is no other
pub(super) fn choose<'a, P: Policy>(
    policy: &P,
    group: &'a Group,
    scene: &Scene<'_>,
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let best = best(policy, group, scene, scene.ask.avoid, rng);
    if best.is_some() || scene.ask.avoid.is_empty() {
        return best;
    }
    self::best(policy, group, scene, &[], rng)
}

/// goes outward while the next tier's price is below the best cost
fn best<'a, P: Policy>(
    policy: &P,
    group: &'a Group,
    scene: &Scene<'_>,
    avoid: &[String],
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let mut best: Option<Scored<'a>> = None;
    for tier in Tier::ALL {
        if tier == Tier::Link && scene.link_use >= 1.0 {
            break;
        }
        let price = policy.price(tier, scene.bytes()) * scene.scarcity(tier);
        if best.is_some_and(|best| best.cost <= price) {
            break;
        }
        let nodes: Vec<&Arc<Node>> = group
            .tier(tier)
            .iter()
            .filter(|node| !node.is_leaving() && !avoid.contains(&node.vm.name))
            .collect();
        for candidate in policy.shortlist(&nodes, scene, rng) {
            let Some(scored) = score(policy, &candidate, scene, price, rng) else {
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
    scene: &Scene<'_>,
    price: f64,
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let look = scene.look(candidate)?;
    let target_us = scene.ask.first_token.as_micros() as f64;
    let jitter = policy.jitter() * rng.random::<f64>();
    let cost = policy.cost(&look, target_us) * (1.0 + jitter) + TIE_US * jitter + price;
    Some(Scored {
        node: candidate.node,
        look,
        home_tokens: candidate.home_tokens,
        cost,
    })
}

/// returns all VMs from a place on
fn rotated<'a>(nodes: &[&'a Arc<Node>], start: usize) -> Vec<Candidate<'a>> {
    let (head, tail) = nodes.split_at(start);
    let candidate = |node: &&'a Arc<Node>| Candidate {
        node,
        home_tokens: 0,
    };
    tail.iter().chain(head).map(candidate).collect()
}
