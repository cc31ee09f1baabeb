//! Choice of a VM for a request among those of its service.

use std::time::Duration;

use tokio::time::Instant;

use super::balancer::{Balancer, Service};
use super::candidate::{Context, Fetchers};
use super::candidates::{Candidate, Selection};
use super::cost::{MIN_RETRY_AFTER, closed, distance_penalty, full, preferred_vm, spread, tokens};
use super::entry::Entry;
use super::levels::Level;
use super::load::Rate;
use super::peer_loads::MAX_DIRECT_DAEMONS;
use super::request::{Choice, Distance, Request};
use super::spill::Region;

impl Balancer {
    /// chooses a VM for a request
    pub fn choose(&self, request: &Request<'_>, now: Instant) -> Choice {
        let Some(state) = self.services.get(request.service) else {
            return Choice::NoVm;
        };
        if let Some(split) = &state.split {
            return self.choose_version(state, split, request, now);
        }
        let has_version = |entry: &Entry| {
            let version = request.version;
            version.is_none_or(|version| version == entry.member.version)
        };
        self.choose_among(state, request, has_version, now)
    }

    /// chooses a VM for a request among some of a service's
    pub(super) fn choose_among(
        &self,
        state: &Service,
        request: &Request<'_>,
        is_candidate: impl Fn(&Entry) -> bool,
        now: Instant,
    ) -> Choice {
        let entries = || state.entries.values().filter(|entry| is_candidate(entry));
        let ids = entries().map(|entry| entry.member.id.as_str());
        let timing = state.learner.timing();
        let preferred = preferred_vm(ids, request, &timing);
        let spread = spread(request, self.peer_backlog(request.service, now), &timing);
        let mut open = Vec::with_capacity(state.entries.len());
        let mut at_limit = None;
        let mut opens_at: Option<(Instant, &str)> = None;
        let context = Context {
            state,
            request,
            spread,
            are_reports_old: self.are_reports_old(),
            now,
        };
        let mut fetchers = Fetchers::default();
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
            let preferred = preferred.filter(|preferred| preferred.id == entry.member.id);
            let bonus = preferred.map_or(Duration::ZERO, |vm| vm.bonus);
            let candidate = self.candidate(&context, entry, bonus);
            fetchers.add(&candidate);
            open.push(candidate);
        }
        let limit = request.time_limit;
        self.add_unreported(&context, &mut open);
        let level = self.level(&context, &open);
        let selection = context.select(open, level);
        match (selection, at_limit, opens_at) {
            (Some(Selection::InTime(chosen)), _, _) => {
                let fetching = fetchers.best(&context, &chosen);
                Choice::Send(fetching.unwrap_or_else(|| chosen.pick(None)))
            }
            (Some(Selection::Late(chosen)), _, _) => match fetchers.best(&context, &chosen) {
                Some(fetching) if limit.allows(fetching.expected, fetching.unloaded) => {
                    Choice::Send(fetching)
                }
                _ => {
                    let id = &chosen.entry.member.id;
                    Choice::Full(full(id, chosen.estimate.expected, limit))
                }
            },
            (None, Some(id), _) => closed(request, &id, MIN_RETRY_AFTER, false),
            (None, None, Some((until, id))) => {
                closed(request, id, until.saturating_duration_since(now), true)
            }
            (None, None, None) => Choice::NoVm,
        }
    }

    /// a VM that accepts a request, with its expected times
    fn candidate<'a>(
        &self,
        context: &Context<'_>,
        entry: &'a Entry,
        bonus: Duration,
    ) -> Candidate<'a> {
        let (state, request, now) = (context.state, context.request, context.now);
        let is_avoided = request.avoid.contains(&entry.member.id);
        let load = self.load(request.service, entry, &state.timing(entry, now), now);
        let cached = entry.prefix_cache.cached(request.parts);
        let reported_wait = if context.are_reports_old {
            let load = self.reported_load(request.service, entry, now);
            state.wait(entry, &load, now)
        } else {
            Duration::ZERO
        };
        Candidate {
            entry,
            load,
            estimate: context.estimate(entry, &load, cached, (0, Duration::ZERO)),
            reported_wait,
            bonus,
            is_last_resort: is_avoided || entry.health.is_suspect(now),
        }
    }

    /// the level up to which VMs are assumed to have been filled since the reports; none if the reports
    /// are recent, as between a few daemons
    fn level(&self, context: &Context<'_>, candidates: &[Candidate<'_>]) -> Option<Level> {
        if !context.are_reports_old {
            return None;
        }
        let waits = candidates.iter().map(|vm| vm.reported_wait);
        let arriving = self.arriving(context.state, context.request.service, context.now);
        Some(Level::new(waits, arriving))
    }

    /// adds to the waits what peers are likely to have sent with the same prompt since their reports: it
    /// goes to the VMs that hold the prompt
    fn add_unreported(&self, context: &Context<'_>, candidates: &mut [Candidate<'_>]) {
        let (state, request) = (context.state, context.request);
        let Some(((_, unshared), shared)) = request.parts.split_last() else {
            return;
        };
        let (Some((part, _)), true) = (shared.last(), context.are_reports_old) else {
            return;
        };
        let age = self.reports_age(context.now);
        let peers = self.daemons.saturating_sub(1);
        let requests = state.popularity.requests(*part, peers, age, context.now);
        let held = tokens(shared);
        let holders = || candidates.iter().filter(|vm| vm.estimate.cached >= held);
        let count = holders().count();
        if count == 0 {
            return;
        }
        let each = state.learner.timing().prefill_time(u64::from(*unshared));
        let sent = each.mul_f64(requests / count as f64);
        for vm in candidates
            .iter_mut()
            .filter(|vm| vm.estimate.cached >= held)
        {
            vm.reported_wait += sent;
        }
    }

    /// sets the demand of the peers' callers for a service, and derives from the last reports which
    /// requests leave this region
    pub fn set_peer_rate(&mut self, service: &str, rate: Rate, now: Instant) {
        let rate = rate.bounded();
        if let Some(known) = self.peer_rates.get_mut(service) {
            *known = rate;
        } else {
            self.peer_rates.insert(service.to_owned(), rate);
        }
        let Some(state) = self.services.get(service) else {
            return;
        };
        if !self.are_reports_old() {
            return;
        }
        let (mut here, mut there) = (Region::default(), Region::default());
        for entry in state.entries.values() {
            let region = match entry.member.distance {
                Distance::Zone | Distance::Region => &mut here,
                Distance::Link => &mut there,
            };
            let load = self.reported_load(service, entry, now);
            let excess = state.excess(entry.member.distance).current(now);
            region.add(state.wait(entry, &load, now) + excess);
        }
        let arriving = self.arriving(state, service, now);
        let mut spill = state.spill;
        spill.update(here, there, distance_penalty(Distance::Link), arriving);
        if let Some(state) = self.services.get_mut(service) {
            state.spill = spill;
        }
    }

    /// returns the measured wait beyond the expected one in this region, and the fraction of the requests that
    /// leave it
    pub fn excess_and_spill(&self, service: &str, now: Instant) -> (Duration, f64) {
        let state = self.services.get(service);
        state.map_or((Duration::ZERO, 0.0), |state| {
            (state.excess_here.current(now), state.spill.fraction())
        })
    }

    /// time that one VM takes for what the peers have sent since their reports
    fn arriving(&self, state: &Service, service: &str, now: Instant) -> Duration {
        let rate = self.peer_rates.get(service).copied().unwrap_or_default();
        let age = self.reports_age(now).as_secs_f64();
        let first = state.entries.values().next().map(|entry| &entry.member);
        if first.is_some_and(|member| member.cache_tokens.is_some()) {
            let tokens = rate.prefill_tokens * age;
            return state.learner.timing().prefill_time(tokens as u64);
        }
        let slots = first.map_or(1, |member| member.slots.max(1));
        let response_time = state.baseline_response_time.mean().unwrap_or_default();
        response_time.mul_f64(rate.requests * age / f64::from(slots))
    }

    /// whether reports are a second old, as between tens of daemons
    fn are_reports_old(&self) -> bool {
        self.daemons > MAX_DIRECT_DAEMONS
    }
}
