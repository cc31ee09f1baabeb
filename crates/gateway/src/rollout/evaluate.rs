use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use route::rollout::{Decision, Remaining, State, Verdict, View, canaries, decide};
use tokio::time::{Instant, sleep};

use super::active::Active;
use super::message::Stop;
use super::source::Part;
use crate::adapter::Dialect;
use crate::model::Health;
use crate::shared::Shared;

/// interval at which a roll-out in progress is decided on: half of that at which evidence arrives
const INTERVAL: Duration = Duration::from_millis(400);

/// the same shortly before its deadline, and while a state has to be written
const LATE_INTERVAL: Duration = Duration::from_millis(150);

/// time before the deadline from which requests move and the state is written
const LATE_TIME: Duration = Duration::from_secs(4);

/// age of a decision from which it is made anew before the next request
const MAX_DECISION_AGE: Duration = Duration::from_millis(800);

/// a VM of a service, as far as roll-outs are concerned
struct Candidate {
    id: String,
    version: String,
    zone: String,
    is_reachable: bool,
}

/// decides on roll-outs for as long as the process runs
pub async fn evaluate<D: Dialect>(shared: Rc<Shared<D>>) {
    if shared.settings.rollout.is_none() {
        return;
    }
    loop {
        shared.evaluate_rollouts();
        let changed = shared.rollouts.changed.notified();
        if shared.needs_evaluation() {
            tokio::select! {
                () = changed => {}
                () = sleep(shared.evaluation_interval()) => {}
            }
        } else {
            changed.await;
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// decides on all roll-outs in progress, and applies the result
    pub fn evaluate_rollouts(&self) {
        self.rollouts.evaluated_at.set(Some(self.clock.now()));
        self.record_late_attempts();
        self.refresh_stops();
        let names: Vec<String> = self.rollouts.active.borrow().keys().cloned().collect();
        for name in &names {
            self.evaluate_rollout(name);
        }
        self.apply_splits();
        let active = self.rollouts.active.borrow();
        if active.values().any(|active| active.due_state().is_some()) {
            self.rollouts.status_due.notify_one();
        }
    }

    /// decides on roll-outs if that is overdue, as in a process that was suspended
    pub(crate) fn refresh_rollouts(&self) {
        let Some(at) = self.rollouts.evaluated_at.get() else {
            return;
        };
        let age = self.clock.now().saturating_duration_since(at);
        if age > MAX_DECISION_AGE && self.needs_evaluation() {
            self.evaluate_rollouts();
        }
    }

    fn evaluation_interval(&self) -> Duration {
        let now = self.clock.now();
        let active = self.rollouts.active.borrow();
        let is_late = |active: &Active| {
            let is_near = active.elapsed(now) + LATE_TIME >= active.order.duration;
            active.due_state().is_some() || (active.is_in_progress() && is_near)
        };
        if active.values().any(is_late) {
            LATE_INTERVAL
        } else {
            INTERVAL
        }
    }

    fn needs_evaluation(&self) -> bool {
        let active = self.rollouts.active.borrow();
        let is_open = |active: &Active| active.is_in_progress() || active.due_state().is_some();
        active.values().any(is_open) || self.has_unconfirmed_versions()
    }

    fn refresh_stops(&self) {
        let versions = self.rollouts.versions.borrow();
        let is_listed = |stop: &Stop| versions.is_listed(&stop.service, &stop.version);
        let mut stops = self.rollouts.stops.borrow_mut();
        stops.refresh(is_listed, Instant::now());
    }

    fn evaluate_rollout(&self, name: &str) {
        let mut all = self.rollouts.active.borrow_mut();
        let Some(active) = all.get(name).filter(|active| active.is_in_progress()) else {
            return;
        };
        let service = &active.order.service;
        let is_newer = |other: &Active| {
            let is_same = other.order.service == *service && other.entry.name != name;
            is_same && other.rejected.is_none() && other.entry.request > active.entry.request
        };
        let is_replaced = all.values().any(is_newer);
        let Some(active) = all.get_mut(name) else {
            return;
        };
        if is_replaced {
            self.reject(active, State::RolledBack, "a newer request for the service");
            return;
        }
        let candidates = self.candidates(&active.order.service);
        if let Some((state, cause)) = self.objection(active, &candidates) {
            self.reject(active, state, cause);
            return;
        }
        self.decide(active, &candidates);
    }

    /// why a request can't be carried out, and the state that it ends with
    fn objection(
        &self,
        active: &Active,
        candidates: &[Candidate],
    ) -> Option<(State, &'static str)> {
        let order = &active.order;
        if order.duration.is_zero() {
            return Some((State::RolledBack, "the duration is zero or below"));
        }
        let config = self.config()?;
        if !config.services.contains_key(&order.service) {
            return Some((State::RolledBack, "the service is not configured"));
        }
        let is_target = |candidate: &Candidate| candidate.version == order.target;
        let is_in_force = !candidates.is_empty() && candidates.iter().all(is_target);
        if is_in_force && active.entry.status.is_none() && self.listed_at.get().is_some() {
            return Some((State::Completed, "the version is in force already"));
        }
        None
    }

    /// ends a request without effect
    fn reject(&self, active: &mut Active, state: State, cause: &'static str) {
        active.rejected = Some(cause);
        active.end = Some(state);
        let order = &active.order;
        tracing::warn!(
            event = "rollout_rejected",
            name = active.entry.name,
            service = order.service,
            to = order.target,
            duration_ms = order.duration.as_millis() as u64,
            ?state,
            cause,
        );
        let versions = self.rollouts.versions.borrow();
        let is_in_use = versions.is_listed(&order.service, &order.target);
        drop(versions);
        let has_begun = active.decision.is_some();
        if state == State::RolledBack && (has_begun || !is_in_use) {
            let stop = active.stop(false);
            let mut stops = self.rollouts.stops.borrow_mut();
            stops.add(stop, Instant::now());
        }
    }

    /// the ready VMs of a service
    fn candidates(&self, service: &str) -> Vec<Candidate> {
        let placement = self.placement.borrow();
        let unreachable = placement.unreachable(service, Instant::now());
        let vms = self.vms.borrow();
        let ready = vms
            .values()
            .filter(|vm| vm.service == service && vm.health == Health::Ready);
        let candidates = ready.map(|vm| Candidate {
            id: vm.id.clone(),
            version: vm.version.clone(),
            zone: vm.zone.clone(),
            is_reachable: !unreachable.contains(vm.id.as_str()),
        });
        candidates.collect()
    }

    fn decide(&self, active: &mut Active, candidates: &[Candidate]) {
        let Some(bounds) = &self.settings.rollout else {
            return;
        };
        let now = self.clock.now();
        active.refresh_start(now, self.wall_clock.now_ms());
        let sum = self.rollout_sum(active, |_| true, Part::All, now);
        active.age = self.rollout_age(active, now);
        let order = &active.order;
        let unused = self.unused_versions(active);
        let is_old = |candidate: &&Candidate| {
            candidate.version != order.target && !unused.contains(&candidate.version)
        };
        let is_target = |candidate: &&Candidate| candidate.version == order.target;
        let is_reachable = |candidate: &&Candidate| candidate.is_reachable;
        let old = || candidates.iter().filter(is_old);
        let zones = zones(candidates, is_target, is_old);
        let canary_share = bounds.canary_share();
        let canary_vms: usize = zones
            .values()
            .map(|zone| canaries(order, &zone.target, zone.old, canary_share).len())
            .sum();
        let is_stopped = self.is_known_bad(active);
        let view = View {
            elapsed: active.elapsed(now),
            evidence: &sum.evidence,
            old_vms: old().filter(is_reachable).count(),
            target_vms: candidates
                .iter()
                .filter(is_target)
                .filter(is_reachable)
                .count(),
            canary_vms,
            remaining: Remaining {
                silent: self.silent_daemons(sum.daemons),
                ..sum.remaining
            },
            age: active.age,
            is_stopped,
        };
        let decision = decide(order, bounds, &view);
        let used = zones.values().flat_map(|zone| {
            let share = decision.share.max(canary_share);
            canaries(order, &zone.target, zone.old, share)
        });
        let vms: HashSet<String> = used.map(str::to_owned).collect();
        log_decision(active, &decision, &view, vms.len());
        active.vms = vms;
        active.decision = Some(decision);
        if decision.verdict == Verdict::Bad && !is_stopped {
            let stop = active.stop(true);
            self.merge_stops(&[stop], "worse than the version in force", true);
        }
    }

    /// whether this daemon has seen a stop of the request as its version is bad
    fn is_known_bad(&self, active: &Active) -> bool {
        let stops = self.rollouts.stops.borrow();
        let of_service = stops.of_service(&active.order.service);
        let mut of_target = of_service.filter(|stop| stop.version == active.order.target);
        of_target.any(|stop| stop.is_bad && !active.supersedes(stop))
    }

    /// daemons of which no current report has arrived
    fn silent_daemons(&self, others: u32) -> u32 {
        let topology = self.rollouts.topology.borrow();
        let daemons = topology.as_ref().map_or(1, |topology| topology.daemons());
        u32::try_from(daemons)
            .unwrap_or(u32::MAX)
            .saturating_sub(others.saturating_add(1))
    }

    /// time since the state of most daemons was known; never before this daemon has joined them
    fn rollout_age(&self, active: &Active, now: Instant) -> Duration {
        if self.settings.is_alone {
            return Duration::ZERO;
        }
        let topology = self.rollouts.topology.borrow();
        topology
            .as_ref()
            .map_or(Duration::MAX, |topology| active.sources.age(topology, now))
    }
}

/// VMs of a zone
#[derive(Default)]
struct ZoneVms<'a> {
    target: Vec<&'a str>,
    old: usize,
}

fn zones<'a>(
    candidates: &'a [Candidate],
    is_target: impl Fn(&&'a Candidate) -> bool,
    is_old: impl Fn(&&'a Candidate) -> bool,
) -> BTreeMap<&'a str, ZoneVms<'a>> {
    let mut zones: BTreeMap<&str, ZoneVms<'_>> = BTreeMap::new();
    for candidate in candidates {
        let zone = zones.entry(candidate.zone.as_str()).or_default();
        if is_target(&candidate) {
            zone.target.push(&candidate.id);
        } else if is_old(&candidate) {
            zone.old += 1;
        }
    }
    zones
}

/// logs a decision that differs from the one before
fn log_decision(active: &Active, decision: &Decision, view: &View<'_>, vms: usize) {
    let before = active.decision;
    let is_same = before.is_some_and(|before| {
        before.share == decision.share
            && before.verdict == decision.verdict
            && before.state == decision.state
    });
    if is_same {
        return;
    }
    eprintln!(
        "STEP {} {:?} {:?} {:?} old {} new {} used {vms} {:?} age {:?} ev {} {:?}",
        active.entry.name,
        view.elapsed,
        decision.share,
        decision.verdict,
        view.old_vms,
        view.target_vms,
        view.remaining,
        view.age,
        view.evidence.len(),
        decision.finding
    );
    let finding = decision.finding;
    tracing::info!(
        event = "rollout_step",
        name = active.entry.name,
        service = active.order.service,
        to = active.order.target,
        elapsed_ms = view.elapsed.as_millis() as u64,
        share = decision.share,
        before = before.map(|before| before.share),
        verdict = ?decision.verdict,
        state = ?decision.state,
        old_vms = view.old_vms,
        target_vms = view.target_vms,
        used_vms = vms,
        sending = view.remaining.sending,
        silent = view.remaining.silent,
        bound = view.remaining.bound,
        repeatable = view.remaining.repeatable,
        view_age_ms = u64::try_from(view.age.as_millis()).unwrap_or(u64::MAX),
        cells = view.evidence.len(),
        fault = finding.map(|finding| format!("{:?}", finding.fault)),
        route = finding.and_then(|finding| finding.route),
        samples = finding.map(|finding| finding.samples),
        affected = finding.map(|finding| finding.affected),
        expected = finding.map(|finding| finding.expected),
        weight = finding.map(|finding| finding.weight),
    );
}
