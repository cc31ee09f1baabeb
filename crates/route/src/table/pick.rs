//! Choosing a VM from the table.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use schema::settings::Policy;
use tokio::time::Instant;

use super::choice::{Scene, Scored, choose};
use super::live::Others;
use super::rate::Rate;
use super::rule::{Affinity, Least, Turns};
use super::stats::{Means, Stats};
use super::view::Group;
use super::{Ask, Permit, Pick, Table, Tier};
use crate::retry::Phase;
use crate::{Reason, Refusal};

/// attempts to take a VM whose breaker closes in between
const TAKES: u32 = 4;

/// time to come back when a service has no VM
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// least time to come back when no VM takes work
const RETRY_LEAST: Duration = Duration::from_millis(500);

/// bytes per second that all daemons together may send across the link
const LINK_BYTES_PER_SECOND: f64 = 1_500_000.0;

impl Table {
    /// chooses a VM and counts the request as in flight there
    pub fn pick(&self, ask: &Ask<'_>, rng: &mut impl Rng, now: Instant) -> Result<Pick, Refusal> {
        let view = self.read();
        let Some(stats) = view.stats(ask.service) else {
            return Err(Refusal::new(Reason::UnknownService));
        };
        let Some(group) = view.group(ask.service) else {
            return Err(Refusal::after(Reason::NoUpstream, NO_UPSTREAM_WAIT));
        };
        let scene = self.scene(ask, stats, group, now);
        for _ in 0..TAKES {
            let Some(scored) = self.choose(group, &scene, rng) else {
                break;
            };
            let estimate = scored.estimate();
            if now + estimate > ask.deadline {
                return Err(Refusal::after(Reason::Deadline, estimate));
            }
            if let Some(pick) = self.take(&scored, &scene, rng.random()) {
                return Ok(pick);
            }
        }
        Err(Refusal::after(Reason::NoUpstream, reopening(group, now)))
    }

    /// returns the queueing time a new request of a service can expect
    ///
    /// This is the lower quartile of the nearest VMs that take work; none if there are
    /// no such VMs.
    pub fn wait(&self, service: &str, now: Instant) -> Option<Duration> {
        let view = self.read();
        let stats = view.stats(service)?;
        let group = view.group(service)?;
        let means = stats.means();
        let others = self.others(&means, group, now);
        for tier in Tier::ALL {
            let mut waits: Vec<f64> = group
                .tier(tier)
                .iter()
                .filter(|node| !node.is_leaving())
                .filter_map(|node| node.live().wait_us(&means, &others, now))
                .collect();
            if waits.is_empty() {
                continue;
            }
            let quartile = waits.len() / 4;
            let (_, wait_us, _) = waits.select_nth_unstable_by(quartile, f64::total_cmp);
            return Some(Duration::from_secs_f64(*wait_us / 1e6));
        }
        None
    }

    fn choose<'a>(
        &self,
        group: &'a Group,
        scene: &Scene<'_>,
        rng: &mut impl Rng,
    ) -> Option<Scored<'a>> {
        match self.policy {
            Policy::Affinity => choose(&Affinity, group, scene, rng),
            Policy::Least => choose(&Least, group, scene, rng),
            Policy::Turns => choose(&Turns, group, scene, rng),
        }
    }

    fn scene<'a>(
        &self,
        ask: &'a Ask<'a>,
        stats: &'a Stats,
        group: &Group,
        now: Instant,
    ) -> Scene<'a> {
        let means = stats.means();
        let others = self.others(&means, group, now);
        let link_rate = self.lock_link_rate().per_second(now);
        let daemons = others.daemons + 1.0;
        Scene {
            ask,
            stats,
            means,
            others,
            link_use: link_rate * daemons / LINK_BYTES_PER_SECOND,
            now,
        }
    }

    fn others(&self, means: &Means, group: &Group, now: Instant) -> Others {
        let vms = group.tier(Tier::Near).len().max(1) as f64;
        Others {
            daemons: f64::from(self.daemons.load(Ordering::Relaxed) - 1),
            mean_sends: means.sends.per_second(now) / vms,
        }
    }

    /// counts the request in, unless the breaker opened or its probe is out
    fn take(&self, scored: &Scored<'_>, scene: &Scene<'_>, jitter: f64) -> Option<Pick> {
        let node = scored.node;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let probe;
        {
            let mut live = node.live();
            probe = live.breaker.phase(scene.now) == Phase::HalfOpen;
            if !live.breaker.acquire(scene.now) {
                return None;
            }
            live.send(number, scene.ask, scored.look.prefill_tokens, scene.now);
        }
        scene.stats.sent(scene.now);
        let link = node.tier == Tier::Link;
        if link {
            self.count_link(scene.bytes(), scene.now);
        }
        Some(Pick {
            vm: node.vm.name.clone(),
            address: node.vm.address.clone(),
            estimate: scored.estimate(),
            link,
            permit: Permit {
                node: Arc::clone(node),
                number,
                blocks: scene.ask.blocks.to_vec(),
                known_tokens: scored.look.known_tokens,
                home_tokens: scored.home_tokens,
                jitter,
                probe,
                at: scene.now,
            },
        })
    }

    fn count_link(&self, bytes: u64, now: Instant) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.lock_link_rate().add(bytes as f64, now);
    }

    fn lock_link_rate(&self) -> MutexGuard<'_, Rate> {
        self.link_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// returns when the first breaker lets a request through
fn reopening(group: &Group, now: Instant) -> Duration {
    let staying = group.nodes().filter(|node| !node.is_leaving());
    let waits = staying.map(|node| node.live().breaker.wait(now));
    waits.min().unwrap_or(NO_UPSTREAM_WAIT).max(RETRY_LEAST)
}
