use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::backlog;
use super::candidates::{Candidate, Candidates};
use super::completion::{Completion, Outcome};
use super::cost::{
    MIN_RETRY_AFTER, SPREAD, distance_penalty, full, jitter, preferred_vm, spread, tokens,
};
use super::engine::{self, Capacity};
use super::entry::Entry;
use super::load::{Load, Meter, Rate, Work};
use super::member::Member;
use super::plain::{self, ResponseTime};
use super::prefix_cache::Prefill;
use super::request::{Choice, Full, Pick, Request};

/// largest number of prefills kept for the next report to peers
const MAX_PENDING_PREFILLS: usize = 256;

/// smallest number of connections that a daemon may open to a VM: with hundreds of daemons,
/// only some of them use a VM at a time
const MIN_CONNECTIONS: u32 = 4;

/// age after which the load reported by a peer is ignored, if peers report more often
const MIN_PEER_LOAD_TTL: Duration = Duration::from_millis(2500);

/// report intervals after which it is ignored otherwise: with hundreds of daemons, a load that is
/// seconds old is still right on average, and without it VMs seem idle
const PEER_LOAD_INTERVALS: f64 = 1.5;

/// number of daemons up to which all report to each other directly, and loads are half a second old
const MAX_DIRECT_DAEMONS: u32 = 12;

/// most tokens that peers which have not reported are assumed to have waiting at a VM: 0.2 s of
/// prefill, less than the shortest objectives
const MAX_ASSUMED_PREFILL: u64 = 10_000;

/// weight of a new outcome in a service's baseline failure rate
const BASELINE_WEIGHT: f64 = 0.01;

/// the VMs of one service
#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    pub entries: HashMap<String, Entry>,
    baseline_failures: f64,
    baseline_response_time: ResponseTime,
    meter: Meter,
    /// whether its capacity is short
    is_short: bool,
    /// what this daemon has in flight at all VMs
    sent: Load,
}

impl Service {
    /// average of a load over all VMs
    fn average(&self, loads: &HashMap<String, Load>) -> Load {
        let mut sum = Load::default();
        for load in self.entries.keys().filter_map(|id| loads.get(id)) {
            sum.add(load);
        }
        sum.divided(self.entries.len())
    }

    /// average of a load over the VMs
    fn means(&self, loads: &HashMap<String, Load>) -> backlog::Means {
        backlog::means(self.entries.iter().map(|(id, entry)| {
            let waiting = loads.get(id).map_or(0, |load| load.prefill_tokens);
            (entry.member.distance, waiting)
        }))
    }
}

/// last reported load of a peer, by VM
#[derive(Debug, Clone)]
struct PeerLoads {
    received_at: Instant,
    loads: HashMap<String, Load>,
    /// average over the VMs, by service
    means: HashMap<String, backlog::Means>,
    /// average over all VMs, by service
    averages: HashMap<String, Load>,
}

/// all VMs that may be chosen, with their load
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    pub(super) services: HashMap<String, Service>,
    peer_loads: HashMap<String, PeerLoads>,
    pending_prefills: Vec<Prefill>,
    daemons: u32,
    report_interval: Duration,
    /// until when peers that have not reported are assumed to send as much as this daemon
    assumes_peers_until: Option<Instant>,
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

    /// assumes until a time that peers send as much as this daemon, as long as none has reported
    ///
    /// Load pattern: all daemons are lost, and start again with all callers returning. Without
    /// reports VMs seem to have only what this daemon has sent, one of tens, and are flooded. The
    /// assumption is bounded, so that VMs accept urgent requests in any case.
    pub fn assume_peers(&mut self, until: Instant) {
        self.assumes_peers_until = Some(until);
    }

    /// load at each VM of a service that peers are assumed to have sent
    fn assumed_load(&self, state: &Service, member: &Member, now: Instant) -> Load {
        let is_assumed = self.assumes_peers_until.is_some_and(|until| now < until);
        if !is_assumed || !self.peer_loads.is_empty() {
            return Load::default();
        }
        let peers = self.daemons.saturating_sub(1);
        let sent = Load {
            running: state.sent.running.saturating_mul(peers),
            prefill_tokens: state.sent.prefill_tokens * u64::from(peers),
            held: 0,
        };
        let each = sent.divided(state.entries.len());
        Load {
            running: each.running.min(member.slots / 2),
            prefill_tokens: each.prefill_tokens.min(MAX_ASSUMED_PREFILL),
            held: 0,
        }
    }

    /// age after which the load reported by a peer is ignored
    fn peer_load_ttl(&self) -> Duration {
        MIN_PEER_LOAD_TTL.max(self.report_interval.mul_f64(PEER_LOAD_INTERVALS))
    }

    /// sets the load that a peer reported
    pub fn set_peer_loads(&mut self, peer: &str, loads: HashMap<String, Load>, now: Instant) {
        let loads = loads.into_iter().map(|(vm, load)| (vm, load.bounded()));
        let loads: HashMap<String, Load> = loads.collect();
        let services = self.services.iter();
        let averages = services.clone();
        let averages = averages.map(|(name, state)| (name.clone(), state.average(&loads)));
        let means = services.map(|(name, state)| (name.clone(), state.means(&loads)));
        let report = PeerLoads {
            received_at: now,
            means: means.collect(),
            averages: averages.collect(),
            loads,
        };
        self.peer_loads.insert(peer.to_owned(), report);
        let ttl = self.peer_load_ttl();
        self.peer_loads
            .retain(|_, report| now.saturating_duration_since(report.received_at) < ttl);
    }

    /// adds the prompt parts that VMs prefill for a peer
    pub fn add_peer_prefills(&mut self, prefills: &[Prefill], now: Instant) {
        for prefill in prefills {
            let Some(entry) = self.entry(&prefill.service, &prefill.vm) else {
                continue;
            };
            if let Some(capacity) = entry.member.cache_tokens {
                entry.prefix_cache.insert(&prefill.parts, capacity, now);
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
            for entry in state.entries.values() {
                total.add(&self.load(service, entry, now));
            }
        }
        total
    }

    /// chooses a VM for a request
    pub fn choose(&self, request: &Request<'_>, now: Instant) -> Choice {
        let Some(state) = self.services.get(request.service) else {
            return Choice::NoVm;
        };
        let has_version = |entry: &&Entry| {
            let version = request.version;
            version.is_none_or(|version| version == entry.member.version)
        };
        let entries = || state.entries.values().filter(has_version);
        let ids = entries().map(|entry| entry.member.id.as_str());
        let preferred = preferred_vm(ids, request);
        let spread = spread(request, self.peer_backlog(request.service, now));
        let limit = request.time_limit;
        let mut candidates = Candidates::new(limit);
        let mut at_limit = None;
        let mut opens_at: Option<(Instant, &str)> = None;
        for entry in entries() {
            if let Some(until) = entry.opens_at(now) {
                let opening = (until, entry.member.id.as_str());
                opens_at = Some(opens_at.map_or(opening, |first| first.min(opening)));
                continue;
            }
            if entry.local.running >= self.connections(&entry.member) {
                at_limit = Some(entry.member.id.clone());
                continue;
            }
            let is_avoided = request.avoid.contains(&entry.member.id);
            let is_last_resort = is_avoided || entry.health.is_suspect(now);
            let pick = self.pick(entry, request, state.baseline_response_time, now);
            let preferred = preferred.filter(|preferred| preferred.id == entry.member.id);
            let cost = pick.expected
                + distance_penalty(pick.distance)
                + entry.health.penalty(state.baseline_failures)
                + entry.refusal_penalty(now)
                + jitter(&entry.member.id, request, spread);
            let cost = cost.saturating_sub(preferred.map_or(Duration::ZERO, |vm| vm.bonus));
            candidates.add(Candidate {
                pick,
                cost,
                is_last_resort,
            });
        }
        let closed = |id: &str, available_in: Duration, is_stated: bool| {
            Choice::Full(Full {
                available_in: available_in.max(MIN_RETRY_AFTER) + jitter(id, request, SPREAD),
                expected: Duration::ZERO,
                is_stated,
                id: id.to_owned(),
            })
        };
        match (candidates.choose(), at_limit, opens_at) {
            (Some(Ok(pick)), _, _) => Choice::Send(pick),
            (Some(Err(pick)), _, _) => Choice::Full(full(pick, limit)),
            (None, Some(id), _) => closed(&id, MIN_RETRY_AFTER, false),
            (None, None, Some((until, id))) => {
                closed(id, until.saturating_duration_since(now), true)
            }
            (None, None, None) => Choice::NoVm,
        }
    }

    /// records that a request is sent to a VM
    pub fn begin(&mut self, request: &Request<'_>, id: &str, work: &Work, now: Instant) {
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
        let is_uncached = entry.prefix_cache.cached(shared) < tokens(shared);
        entry.prefix_cache.insert(request.parts, capacity, now);
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
            entry.response_time.record(took, now);
            state.baseline_response_time.record(took, now);
        }
    }

    pub(super) fn entry(&mut self, service: &str, id: &str) -> Option<&mut Entry> {
        self.services.get_mut(service)?.entries.get_mut(id)
    }

    /// returns the number of connections that this daemon may open to a VM
    fn connections(&self, member: &Member) -> u32 {
        (member.connections / self.daemons.max(1)).max(MIN_CONNECTIONS)
    }

    /// prompt tokens that waited at a VM on average by the peers' last reports, at the distance
    /// where this was most
    fn peer_backlog(&self, service: &str, now: Instant) -> u64 {
        let mut sums = backlog::Means::default();
        for report in self.peer_loads.values() {
            let age = now.saturating_duration_since(report.received_at);
            if let Some(means) = report.means.get(service)
                && age < self.peer_load_ttl()
            {
                for (sum, mean) in sums.iter_mut().zip(means) {
                    *sum += mean;
                }
            }
        }
        sums.into_iter().max().unwrap_or_default()
    }

    /// returns the local and reported load at a VM
    ///
    /// Load pattern: nearly all VMs are full, and reports are seconds old. The one that seemed to have
    /// room got the requests of all daemons until the next report, 56 at once where others had 4. So
    /// while capacity is short, what peers have sent counts as evenly spread.
    fn load(&self, service: &str, entry: &Entry, now: Instant) -> Load {
        let state = self.services.get(service);
        let is_even =
            self.daemons > MAX_DIRECT_DAEMONS && state.is_some_and(|state| state.is_short);
        let mut load = entry.local;
        if let Some(state) = state {
            load.add(&self.assumed_load(state, &entry.member, now));
        }
        for report in self.peer_loads.values() {
            let age = now.saturating_duration_since(report.received_at);
            if age >= self.peer_load_ttl() {
                continue;
            }
            if is_even {
                load.add(&report.averages.get(service).copied().unwrap_or_default());
            } else if let Some(peer_load) = report.loads.get(&entry.member.id) {
                load.add(&engine::after_prefill(peer_load, age));
            }
        }
        load
    }

    fn pick(
        &self,
        entry: &Entry,
        request: &Request<'_>,
        baseline: ResponseTime,
        now: Instant,
    ) -> Pick {
        let member = &entry.member;
        let load = self.load(request.service, entry, now);
        let (expected, unloaded, uncached) = match member.cache_tokens {
            None => {
                let response_time = entry.response_time.estimate(baseline, now);
                (
                    plain::expected(member.slots, &load, response_time),
                    response_time,
                    0,
                )
            }
            Some(cache_tokens) => {
                let cached = entry.prefix_cache.cached(request.parts);
                let uncached = request.prompt_tokens.saturating_sub(cached);
                let capacity = Capacity {
                    slots: member.slots,
                    cache_tokens,
                };
                let held = uncached.saturating_add(request.output_tokens);
                let expected = engine::expected(&capacity, &load, uncached, held);
                (expected, engine::unloaded(uncached), uncached)
            }
        };
        Pick {
            id: member.id.clone(),
            expected,
            unloaded,
            uncached,
            distance: member.distance,
        }
    }
}
