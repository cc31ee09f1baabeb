use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::completion::{Completion, Outcome};
use super::cost::{MIN_RETRY_AFTER, tokens};
use super::entry::Entry;
use super::excess::Excess;
use super::learner::Learner;
use super::load::{Load, Meter, Rate, Work};
use super::member::Member;
use super::peer_loads::PeerLoads;
use super::plain::ResponseTime;
use super::popularity::Popularity;
use super::prefix_cache::Prefill;
use super::request::{Fetch, Request};
use super::speed::Baseline;
use super::spill::Spill;
use super::split::Split;

/// largest number of prefills kept for the next report to peers
const MAX_PENDING_PREFILLS: usize = 256;

/// smallest number of connections that a daemon may open to a VM: with hundreds of daemons,
/// only some of them use a VM at a time
const MIN_CONNECTIONS: u32 = 4;

/// weight of a new outcome in a service's baseline failure rate
const BASELINE_WEIGHT: f64 = 0.01;

/// the VMs of one service
#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    pub entries: HashMap<String, Entry>,
    pub split: Option<Box<Split>>,
    pub baseline_failures: f64,
    pub baseline_response_time: ResponseTime,
    meter: Meter,
    pub learner: Learner,
    /// of first events, of pauses between events, and of plain responses
    pub first_events: Baseline,
    pub pauses: Baseline,
    responses: Baseline,
    /// waits beyond the expected ones, at VMs of this region and across the link
    pub excess_here: Excess,
    pub excess_there: Excess,
    /// requests that leave this region
    pub spill: Spill,
    /// prompts that make up much of the traffic
    pub popularity: Popularity,
    /// whether its capacity is short
    pub is_short: bool,
    /// what this daemon has in flight at all VMs
    pub sent: Load,
}

/// all VMs that may be chosen, with their load
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    pub(super) services: HashMap<String, Service>,
    pub(super) peer_loads: HashMap<String, PeerLoads>,
    pending_prefills: Vec<Prefill>,
    pub(super) daemons: u32,
    pub(super) report_interval: Duration,
    /// demand of the peers' callers by service
    pub(super) peer_rates: HashMap<String, Rate>,
    /// until when peers that have not reported are assumed to send as much as this daemon
    pub(super) assumes_peers_until: Option<Instant>,
    /// whether VMs hold no prompts that this daemon does not know of
    pub(super) has_cold_vms: bool,
    /// whether all VMs of a service count as equally fast
    pub(super) ignores_speeds: bool,
}

impl Balancer {
    /// returns a balancer without VMs
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// replaces the VMs of a service; the state of those that stay is kept, unless they have
    /// restarted
    pub fn set_members(&mut self, service: &str, members: Vec<Member>) {
        let state = self.services.entry(service.to_owned()).or_default();
        let mut previous = std::mem::take(&mut state.entries);
        for member in members {
            let entry = match previous.remove(&member.id) {
                Some(entry) if entry.member.started_at_ms == member.started_at_ms => {
                    Entry { member, ..entry }
                }
                Some(entry) => Entry {
                    local: entry.local,
                    ..Entry::new(member)
                },
                None => Entry::new(member),
            };
            state.entries.insert(entry.member.id.clone(), entry);
        }
    }

    /// sets the number of daemons that share the VMs' connections
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    }

    /// sets the interval at which each peer reports its load
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    /// sets whether the capacity of a service is short
    pub fn set_short(&mut self, service: &str, is_short: bool) {
        if let Some(state) = self.services.get_mut(service) {
            state.is_short = is_short;
        }
    }

    /// adds the prompt parts that VMs prefill for a peer
    pub fn add_peer_prefills(&mut self, prefills: &[Prefill], now: Instant) {
        for prefill in prefills {
            let held = self.held(&prefill.service, &prefill.vm, now);
            let Some(entry) = self.entry(&prefill.service, &prefill.vm) else {
                continue;
            };
            if let Some(capacity) = entry.member.cache_tokens {
                let room = capacity.saturating_sub(held);
                entry
                    .prefix_cache
                    .insert(&prefill.parts, capacity, room, now);
            }
        }
    }

    /// returns the prompt parts that VMs prefill for this daemon, since the last call
    pub fn take_prefills(&mut self) -> Vec<Prefill> {
        std::mem::take(&mut self.pending_prefills)
    }

    /// returns the local load by VM
    pub fn loads(&self) -> HashMap<String, Load> {
        let entries = self
            .services
            .values()
            .flat_map(|state| state.entries.values());
        let busy = entries.filter(|entry| entry.local.running > 0);
        busy.map(|entry| (entry.member.id.clone(), entry.local))
            .collect()
    }

    /// counts a caller's request for a service, with the tokens to prefill
    pub fn record_demand(&mut self, service: &str, prefill_tokens: u32, now: Instant) {
        let state = self.services.entry(service.to_owned()).or_default();
        state.meter.count(prefill_tokens, now);
    }

    /// returns the demand of local callers for a service
    pub fn rate(&mut self, service: &str, now: Instant) -> Rate {
        let state = self.services.get_mut(service);
        state.map_or_else(Rate::default, |state| state.meter.current(now))
    }

    /// returns the demand of local callers by service
    pub fn rates(&mut self, now: Instant) -> HashMap<String, Rate> {
        let services = self.services.iter_mut();
        services
            .map(|(name, state)| (name.clone(), state.meter.current(now)))
            .collect()
    }

    /// returns the number of VMs of a service
    pub fn vm_count(&self, service: &str) -> usize {
        self.services
            .get(service)
            .map_or(0, |state| state.entries.len())
    }

    /// returns the local and reported load at all VMs of a service
    pub fn total_load(&self, service: &str, now: Instant) -> Load {
        let mut total = Load::default();
        if let Some(state) = self.services.get(service) {
            let timing = state.learner.timing();
            for entry in state.entries.values() {
                let timing = timing.slowed(entry.speed.factor(now));
                total.add(&self.load(service, entry, &timing, now));
            }
        }
        total
    }

    /// records that a VM begins to fetch a part of a prompt
    pub fn begin_fetch(&mut self, service: &str, id: &str, fetch: &Fetch, now: Instant) {
        let until = now + fetch.time;
        for vm in [id, fetch.from.as_str()] {
            if let Some(entry) = self.entry(service, vm) {
                entry.link.occupy(until);
            }
        }
    }

    /// records that a request is sent to a VM
    pub fn begin(&mut self, request: &Request<'_>, id: &str, work: &Work, now: Instant) {
        let held = self.held(request.service, id, now);
        let Some(state) = self.services.get_mut(request.service) else {
            return;
        };
        let Some(entry) = state.entries.get_mut(id) else {
            return;
        };
        state.sent.begin(work);
        if entry.local.running == 0 {
            entry.health.mark_busy(now);
        }
        entry.local.begin(work);
        if let Some(throttle) = &mut entry.throttle {
            throttle.take(now);
        }
        let Some(capacity) = entry.member.cache_tokens else {
            return;
        };
        let shared = request
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        if let Some((part, _)) = shared.last() {
            state.popularity.count(*part, now);
        }
        let is_uncached = entry.prefix_cache.cached(shared) < tokens(shared);
        let room = capacity.saturating_sub(held.saturating_add(work.held.into()));
        entry
            .prefix_cache
            .insert(request.parts, capacity, room, now);
        if is_uncached && self.pending_prefills.len() < MAX_PENDING_PREFILLS {
            self.pending_prefills.push(Prefill {
                service: request.service.to_owned(),
                vm: id.to_owned(),
                parts: shared.to_vec(),
            });
        }
    }

    /// records that data was received from a VM
    pub fn record_activity(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(entry) = self.entry(service, id) {
            entry.health.record_activity(now);
        }
    }

    /// records that the first token of a request was received
    pub fn record_first_token(&mut self, service: &str, id: &str, work: &Work) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if let Some(entry) = state.entries.get_mut(id) {
            state.sent.finish_prefill(work);
            entry.local.finish_prefill(work);
        }
    }

    /// records that a request ended
    pub fn end(&mut self, completion: &Completion<'_>, now: Instant) {
        let uses_speeds = !self.ignores_speeds;
        let Some(state) = self.services.get_mut(completion.service) else {
            return;
        };
        if matches!(completion.outcome, Outcome::Answered | Outcome::Failed) {
            let failed = if completion.outcome == Outcome::Failed {
                1.0
            } else {
                0.0
            };
            state.baseline_failures += (failed - state.baseline_failures) * BASELINE_WEIGHT;
        }
        let Some(entry) = state.entries.get_mut(completion.id) else {
            return;
        };
        state.sent.end(completion.work);
        entry.local.end(completion.work);
        if entry.local.running == 0 {
            entry.health.mark_idle();
        }
        match completion.outcome {
            Outcome::Answered => entry.health.record_answer(true),
            Outcome::Failed => entry.health.record_answer(false),
            Outcome::Broken => entry.health.record_broken(now),
            Outcome::Refused => entry.health.pause(MIN_RETRY_AFTER, now),
            Outcome::Cancelled => {}
        }
        if let Some(took) = completion.took {
            if let Some(expected) = state.baseline_response_time.mean() {
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
                let relative = state.responses.record(ratio);
                if uses_speeds && state.responses.is_known() {
                    entry.speed.record(relative, now);
                }
            }
            entry.response_time.record(took, now);
            state.baseline_response_time.record(took, now);
        }
    }

    pub(super) fn entry(&mut self, service: &str, id: &str) -> Option<&mut Entry> {
        self.services.get_mut(service)?.entries.get_mut(id)
    }

    /// returns the number of connections that this daemon may open to a VM
    pub(super) fn connections(&self, member: &Member) -> u32 {
        (member.connections / self.daemons.max(1)).max(MIN_CONNECTIONS)
    }
}
