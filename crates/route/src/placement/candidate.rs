//! What a VM that may be chosen costs a request.

use std::time::Duration;

use tokio::time::Instant;

use super::balancer::Service;
use super::cost::{distance_penalty, jitter};
use super::engine::{Capacity, Timing};
use super::entry::Entry;
use super::load::Load;
use super::plain;
use super::request::{Fetch, Pick, Request};
use super::transfer::MIN_SAVING;

/// a request and the service for which a VM is chosen
pub(super) struct Context<'a> {
    pub state: &'a Service,
    pub request: &'a Request<'a>,
    pub now: Instant,
}

/// VMs that may fetch a part of the prompt, with their loads, and the VM that holds most of it
#[derive(Default)]
pub(super) struct Fetchers<'a> {
    entries: Vec<(&'a Entry, Load)>,
    holder: Option<(u32, &'a Entry)>,
}

impl Context<'_> {
    /// the times of a VM at its present speed
    pub fn timing(&self, entry: &Entry) -> Timing {
        let usual = self.state.learner.timing();
        usual.slowed(entry.speed.factor(self.now))
    }

    /// expected times at a VM with a load, which fetches a part of the prompt
    pub fn pick(&self, entry: &Entry, load: &Load, fetch: Option<Fetch>) -> Pick {
        let (member, request) = (&entry.member, self.request);
        let (expected, unloaded, uncached, cached) = match member.cache_tokens {
            None => {
                let response_time = self.response_time(entry);
                let expected = plain::expected(member.slots, load, response_time);
                (expected, response_time, 0, 0)
            }
            Some(cache_tokens) => {
                let (fetched, time) = match &fetch {
                    Some(fetch) => (fetch.tokens, fetch.time),
                    None => (0, Duration::ZERO),
                };
                let cached = entry.prefix_cache.cached(request.parts);
                let saved = cached.saturating_add(fetched);
                let uncached = request.prompt_tokens.saturating_sub(saved);
                let capacity = Capacity {
                    slots: member.slots,
                    cache_tokens,
                };
                let held = uncached
                    .saturating_add(fetched)
                    .saturating_add(request.output_tokens);
                let timing = self.timing(entry);
                let expected = timing.expected(&capacity, load, uncached, held) + time;
                let unloaded = self.state.learner.timing().unloaded(uncached) + time;
                (expected, unloaded, uncached, cached)
            }
        };
        Pick {
            id: member.id.clone(),
            expected,
            unloaded,
            uncached,
            cached,
            fetch,
            running: load.running,
            distance: member.distance,
        }
    }

    /// expected time with what else speaks against a VM, as time
    pub fn cost(&self, entry: &Entry, pick: &Pick) -> Duration {
        pick.expected
            + distance_penalty(pick.distance)
            + entry.health.penalty(self.state.baseline_failures)
            + entry.refusal_penalty(self.now)
            + jitter(&entry.member.id, self.request)
    }

    /// whether the request would be late at a VM, so that another one is chosen if there is any: a VM
    /// that holds the prompt is preferred only among those that are in time
    pub fn is_late(&self, entry: &Entry, pick: &Pick) -> bool {
        let penalty = entry.health.penalty(self.state.baseline_failures);
        pick.expected + penalty + entry.refusal_penalty(self.now) > self.request.time_limit.total
    }

    fn response_time(&self, entry: &Entry) -> Duration {
        let baseline = self.state.baseline_response_time;
        let measured = entry.response_time.estimate(baseline, self.now);
        let factor = entry.speed.factor(self.now);
        if factor <= 1.0 {
            return measured;
        }
        let usual = baseline.mean().unwrap_or_default();
        measured.max(usual.mul_f64(factor))
    }
}

impl<'a> Fetchers<'a> {
    /// adds a VM that may be chosen and holds so many tokens of the prompt
    pub fn add(&mut self, entry: &'a Entry, load: Load, cached: u32, is_last_resort: bool) {
        if entry.member.transfer.is_none() || is_last_resort {
            return;
        }
        self.entries.push((entry, load));
        if cached > self.holder.map_or(0, |(most, _)| most) {
            self.holder = Some((cached, entry));
        }
    }

    /// the VM that serves the request soonest if it fetches from the holder what it lacks of the
    /// prompt, if that saves clearly more than it costs
    pub fn best(&self, context: &Context<'_>, best: &Pick) -> Option<Pick> {
        let (held, holder) = self.holder?;
        let transfer = holder.member.transfer?;
        let total = |pick: &Pick| pick.expected + distance_penalty(pick.distance);
        let longest = total(best).checked_sub(MIN_SAVING)?;
        let mut soonest: Option<(Duration, Pick)> = None;
        for (entry, load) in &self.entries {
            let is_usable = entry.member.id != holder.member.id
                && entry.member.version == holder.member.version;
            let (from, to) = (holder.member.distance, entry.member.distance);
            let cached = entry.prefix_cache.cached(context.request.parts);
            let tokens = held.saturating_sub(cached);
            let Some(time) = transfer.time(tokens, from, to) else {
                continue;
            };
            if !is_usable || tokens == 0 || time >= longest {
                continue;
            }
            let wait = holder.link.wait(context.now);
            let fetch = Fetch {
                from: holder.member.id.clone(),
                tokens,
                time: time + wait.max(entry.link.wait(context.now)),
            };
            let pick = context.pick(entry, load, Some(fetch));
            let cost = context.cost(entry, &pick);
            let is_soonest = soonest.as_ref().is_none_or(|(least, _)| cost < *least);
            if total(&pick) <= longest && is_soonest {
                soonest = Some((cost, pick));
            }
        }
        soonest.map(|(_, pick)| pick)
    }
}
