//! What a VM that may be chosen costs a request.

use std::time::Duration;

use tokio::time::Instant;

use super::balancer::Service;
use super::candidates::Candidate;
use super::cost::{distance_penalty, jitter, spill_draw};
use super::engine::{Capacity, Timing};
use super::entry::Entry;
use super::levels::Level;
use super::load::Load;
use super::plain::{self, ResponseTime};
use super::request::{Distance, Fetch, Pick, Request};
use super::transfer::MIN_SAVING;

/// requests that wait for the prefill of a request besides itself, on average: at three quarters of an
/// engine's capacity, its queue is 0.75 / (1 - 0.75) requests long
pub(super) const DELAYED_REQUESTS: u32 = 3;

/// fraction of the limit on the expected time up to which a response is in time anyway: a shorter wait is no
/// reason to prefill again what a VM holds. The rest is for requests that are not known yet
const USUAL_FRACTION: f64 = 0.25;

/// a request and the service for which a VM is chosen
pub(super) struct Context<'a> {
    pub state: &'a Service,
    pub request: &'a Request<'a>,
    /// difference in expected time within which VMs count as equivalent
    pub spread: Duration,
    /// whether the reported loads are old, as those of tens of daemons
    pub are_reports_old: bool,
    pub now: Instant,
}

/// VMs that may fetch a part of the prompt, with their loads, and the VM that holds most of it
#[derive(Default)]
pub(super) struct Fetchers<'a> {
    /// with the tokens of the prompt that they hold
    entries: Vec<(&'a Entry, Load, u32)>,
    holder: Option<(u32, &'a Entry)>,
}

/// expected times at a VM; without the ids of a [`Pick`], which are allocated once for the chosen VM
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub expected: Duration,
    /// part of the expected time that was measured beyond what reports show
    pub excess: Duration,
    pub unloaded: Duration,
    /// expected time without what slows down this VM alone
    pub usual: Duration,
    pub uncached: u32,
    pub cached: u32,
}

impl Service {
    /// the times of a VM at its present speed
    pub fn timing(&self, entry: &Entry, now: Instant) -> Timing {
        self.learner.timing().slowed(entry.speed.factor(now))
    }

    /// wait for other requests at a VM with a load
    pub fn wait(&self, entry: &Entry, load: &Load, now: Instant) -> Duration {
        match entry.member.cache_tokens {
            None => {
                let response_time = self.response_time(entry, now);
                plain::expected(entry.member.slots, load, response_time) - response_time
            }
            Some(cache_tokens) => {
                let capacity = Capacity {
                    slots: entry.member.slots,
                    cache_tokens,
                };
                let timing = self.timing(entry, now);
                timing.expected(&capacity, load, 0, 0) - timing.base
            }
        }
    }

    fn response_time(&self, entry: &Entry, now: Instant) -> Duration {
        let baseline = self.baseline_response_time;
        let measured = entry.response_time.estimate(baseline, now);
        let factor = entry.speed.factor(now);
        if factor <= 1.0 {
            return measured;
        }
        let usual = baseline.mean().unwrap_or_default();
        measured.max(usual.mul_f64(factor))
    }
}

impl Context<'_> {
    /// expected times at a VM with a load, which holds some tokens of the prompt and fetches some within
    /// a time
    pub fn estimate(
        &self,
        entry: &Entry,
        load: &Load,
        cached: u32,
        fetch: (u32, Duration),
    ) -> Estimate {
        let (member, request) = (&entry.member, self.request);
        let (fetched, time) = fetch;
        let (expected, usual, unloaded, uncached) = match member.cache_tokens {
            None => {
                let response_time = self.state.response_time(entry, self.now);
                let expected = plain::expected(member.slots, load, response_time);
                let baseline = self.state.baseline_response_time;
                let usual = ResponseTime::default().estimate(baseline, self.now);
                let usual = plain::expected(member.slots, load, usual);
                (expected, usual, response_time, 0)
            }
            Some(cache_tokens) => {
                let saved = cached.saturating_add(fetched);
                let uncached = request.prompt_tokens.saturating_sub(saved);
                let capacity = Capacity {
                    slots: member.slots,
                    cache_tokens,
                };
                let held = uncached
                    .saturating_add(fetched)
                    .saturating_add(request.output_tokens);
                let timing = self.state.timing(entry, self.now);
                let expected = timing.expected(&capacity, load, uncached, held) + time;
                let timing = self.state.learner.timing();
                let usual = timing.expected(&capacity, load, uncached, held) + time;
                (expected, usual, timing.unloaded(uncached) + time, uncached)
            }
        };
        let excess = self.excess(entry);
        Estimate {
            expected: expected + excess,
            excess,
            unloaded,
            usual,
            uncached,
            cached,
        }
    }

    /// expected time with what else speaks against a VM, as time
    pub fn cost(&self, entry: &Entry, estimate: &Estimate) -> Duration {
        estimate.expected
            + self.penalty(entry)
            + jitter(&entry.member.id, self.request, self.spread)
    }

    /// the same where the reported loads are old: only the wait beyond the level speaks against a VM
    pub fn level_cost(&self, vm: &Candidate<'_>, level: &Level) -> Duration {
        let region = match vm.entry.member.distance {
            Distance::Zone | Distance::Region => self.state.spill.penalty(spill_draw(self.request)),
            Distance::Link => Duration::ZERO,
        };
        let unloaded = vm.estimate.unloaded;
        let in_time = self.request.time_limit.total.mul_f64(USUAL_FRACTION);
        let excess = level.excess(vm.reported_wait);
        let excess = excess.saturating_sub(in_time.saturating_sub(unloaded));
        let timing = self.state.learner.timing();
        let prefill = timing.prefill_time(vm.estimate.uncached.into());
        unloaded + prefill * DELAYED_REQUESTS + excess + region + self.penalty(vm.entry)
    }

    /// distance and failures of a VM, as time
    fn penalty(&self, entry: &Entry) -> Duration {
        distance_penalty(entry.member.distance)
            + entry.health.penalty(self.state.baseline_failures)
            + entry.refusal_penalty(self.now)
    }

    /// time beyond the expected one that requests wait in a VM's region, if the reports are old
    fn excess(&self, entry: &Entry) -> Duration {
        if !self.are_reports_old || entry.member.cache_tokens.is_none() {
            return Duration::ZERO;
        }
        self.state.excess(entry.member.distance).current(self.now)
    }
}

impl Estimate {
    /// the VM as the chosen one
    pub fn pick(&self, entry: &Entry, load: &Load, fetch: Option<Fetch>) -> Pick {
        Pick {
            id: entry.member.id.clone(),
            expected: self.expected,
            excess: self.excess,
            unloaded: self.unloaded,
            usual: self.usual,
            uncached: self.uncached,
            cached: self.cached,
            fetch,
            running: load.running,
            distance: entry.member.distance,
        }
    }
}

impl<'a> Fetchers<'a> {
    /// adds a VM that may be chosen
    pub fn add(&mut self, candidate: &Candidate<'a>) {
        let (entry, cached) = (candidate.entry, candidate.estimate.cached);
        if entry.member.transfer.is_none() || candidate.is_last_resort {
            return;
        }
        self.entries.push((entry, candidate.load, cached));
        if cached > self.holder.map_or(0, |(most, _)| most) {
            self.holder = Some((cached, entry));
        }
    }

    /// the VM that serves the request soonest if it fetches from the holder what it lacks of the
    /// prompt, if that saves clearly more than it costs
    pub fn best(&self, context: &Context<'_>, best: &Candidate<'_>) -> Option<Pick> {
        let (held, holder) = self.holder?;
        let transfer = holder.member.transfer?;
        let distance = distance_penalty(best.entry.member.distance);
        let longest = (best.estimate.expected + distance).checked_sub(MIN_SAVING)?;
        let holder_wait = holder.link.wait(context.now);
        let mut soonest: Option<(Duration, usize, Estimate, Duration)> = None;
        for (index, (entry, load, cached)) in self.entries.iter().enumerate() {
            let is_usable = entry.member.id != holder.member.id
                && entry.member.version == holder.member.version;
            let (from, to) = (holder.member.distance, entry.member.distance);
            let tokens = held.saturating_sub(*cached);
            let Some(time) = transfer.time(tokens, from, to) else {
                continue;
            };
            if !is_usable || tokens == 0 || time >= longest {
                continue;
            }
            let time = time + holder_wait.max(entry.link.wait(context.now));
            let estimate = context.estimate(entry, load, *cached, (tokens, time));
            let total = estimate.expected + distance_penalty(entry.member.distance);
            if total > longest {
                continue;
            }
            let cost = context.cost(entry, &estimate);
            if soonest.as_ref().is_none_or(|(least, ..)| cost < *least) {
                soonest = Some((cost, index, estimate, time));
            }
        }
        let (_, index, estimate, time) = soonest?;
        let (entry, load, cached) = self.entries.get(index)?;
        let fetch = Fetch {
            from: holder.member.id.clone(),
            tokens: held.saturating_sub(*cached),
            time,
        };
        Some(estimate.pick(entry, load, Some(fetch)))
    }
}
