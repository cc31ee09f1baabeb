//! Picks a VM of the table for a request.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use schema::settings::Policy;
use tokio::time::Instant;

use super::choice::{Context, Scored, choose};
use super::cost::{Affinity, LeastRequests, RoundRobin};
use super::rate::Rate;
use super::state::PeerTraffic;
use super::stats::{Means, Stats};
use super::view::Pool;
use super::{Permit, Pick, Request, Table, Tier};
use crate::retry::Phase;
use crate::{Reason, Refusal};

/// choices tried when the chosen VM's breaker stops admitting requests in the meantime
const MAX_CHOICES: u32 = 4;

/// retry-after time when a service has no VM
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// minimum retry-after time when no VM admits requests
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// limit on the bytes that all daemons together send across the link, per second
const LINK_BYTES_PER_SECOND: f64 = 1_500_000.0;

impl Table {
    /// chooses a VM and counts the request as in flight there
    pub fn pick(
        &self,
        request: &Request<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<Pick, Refusal> {
        let view = self.read();
        let Some(stats) = view.stats(request.service) else {
            return Err(Refusal::new(Reason::UnknownService));
        };
        let Some(pool) = view.pool(request.service) else {
            return Err(Refusal::after(Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER));
        };
        let context = self.context(request, stats, pool, now);
        for _ in 0..MAX_CHOICES {
            let Some(scored) = self.choose(pool, &context, rng) else {
                break;
            };
            let estimate = scored.first_token();
            if now + estimate > request.deadline {
                return Err(Refusal::after(Reason::Deadline, estimate));
            }
            if let Some(pick) = self.acquire(&scored, &context, rng.random()) {
                return Ok(pick);
            }
        }
        Err(Refusal::after(Reason::NoUpstream, retry_after(pool, now)))
    }

    /// expected queueing time of a new request of a service
    ///
    /// This is the lower quartile over the VMs of the nearest tier with any that admits
    /// requests; none if there is no such tier.
    pub fn expected_wait(&self, service: &str, now: Instant) -> Option<Duration> {
        let view = self.read();
        let stats = view.stats(service)?;
        let pool = view.pool(service)?;
        let means = stats.means();
        let peers = self.peer_traffic(&means, pool, now);
        for tier in Tier::ALL {
            let mut waits: Vec<f64> = pool
                .tier(tier)
                .iter()
                .filter(|endpoint| !endpoint.is_draining())
                .filter_map(|endpoint| endpoint.lock().wait_us(&means, &peers, now))
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
        pool: &'a Pool,
        context: &Context<'_>,
        rng: &mut impl Rng,
    ) -> Option<Scored<'a>> {
        match self.policy {
            Policy::Affinity => choose(&Affinity, pool, context, rng),
            Policy::Least => choose(&LeastRequests, pool, context, rng),
            Policy::Turns => choose(&RoundRobin, pool, context, rng),
        }
    }

    fn context<'a>(
        &self,
        request: &'a Request<'a>,
        stats: &'a Stats,
        pool: &Pool,
        now: Instant,
    ) -> Context<'a> {
        let means = stats.means();
        let peers = self.peer_traffic(&means, pool, now);
        let link_rate = self.lock_link_rate().per_second(now);
        let daemons = peers.daemons + 1.0;
        Context {
            request,
            stats,
            means,
            peers,
            link_utilisation: link_rate * daemons / LINK_BYTES_PER_SECOND,
            now,
        }
    }

    fn peer_traffic(&self, means: &Means, pool: &Pool, now: Instant) -> PeerTraffic {
        let vms = pool.tier(Tier::DataCentre).len().max(1) as f64;
        PeerTraffic {
            daemons: f64::from(self.daemons.load(Ordering::Relaxed) - 1),
            mean_sends: means.sends.per_second(now) / vms,
        }
    }

    /// counts the request as in flight, unless the breaker opened or has a probe in flight
    fn acquire(&self, scored: &Scored<'_>, context: &Context<'_>, jitter: f64) -> Option<Pick> {
        let endpoint = scored.endpoint;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let probe;
        {
            let mut state = endpoint.lock();
            probe = state.breaker.phase(context.now) == Phase::HalfOpen;
            if !state.permits(context.now) || !state.breaker.acquire(context.now) {
                return None;
            }
            state.record_send(
                number,
                context.request,
                scored.estimate.prefill_tokens,
                context.now,
            );
        }
        context.stats.record_send(context.now);
        let crosses_link = endpoint.tier == Tier::Link;
        if crosses_link {
            self.record_link_bytes(context.bytes(), context.now);
        }
        Some(Pick {
            vm: endpoint.vm.name.clone(),
            address: endpoint.vm.address.clone(),
            estimate: scored.first_token(),
            crosses_link,
            permit: Permit {
                endpoint: Arc::clone(endpoint),
                number,
                blocks: context.request.blocks.to_vec(),
                cached_tokens: scored.estimate.cached_tokens,
                preferred_tokens: scored.preferred_tokens,
                jitter,
                probe,
                sent_at: context.now,
            },
        })
    }

    fn record_link_bytes(&self, bytes: u64, now: Instant) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.lock_link_rate().add(bytes as f64, now);
    }

    fn lock_link_rate(&self) -> MutexGuard<'_, Rate> {
        self.link_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// time until the first VM permits a request
fn retry_after(pool: &Pool, now: Instant) -> Duration {
    let active = pool.endpoints().filter(|endpoint| !endpoint.is_draining());
    let waits = active.map(|endpoint| endpoint.lock().wait(now));
    waits
        .min()
        .unwrap_or(NO_UPSTREAM_RETRY_AFTER)
        .max(MIN_RETRY_AFTER)
}
