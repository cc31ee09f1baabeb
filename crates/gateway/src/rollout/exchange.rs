use std::time::Duration;

use route::rollout::Evidence;
use tokio::time::Instant;

use super::active::Active;
use super::message::{Progress, Stop};
use super::source::{Part, Sender, Sum};
use crate::adapter::Dialect;
use crate::clock::millis;
use crate::peers::{Report, Scope};
use crate::shared::Shared;

/// stops that wait to be sent to the peers
const MAX_NEWS: usize = 64;

/// receivers of this daemon's own report, and of its zone's
const PEERS: &str = "peers";
const ZONES: &str = "zones";

/// applies what a report says of roll-outs; stops that are new are passed on if `is_forwarded`
pub fn receive<D: Dialect>(shared: &Shared<D>, report: &Report, is_forwarded: bool) {
    shared.merge_stops(&report.stops, "a peer reports it", is_forwarded);
    if report.rollouts.is_empty() || !shared.is_report_accepted(report) {
        return;
    }
    let now = shared.clock.now();
    let mut all = shared.rollouts.active.borrow_mut();
    for progress in &report.rollouts {
        let Some(active) = all.get_mut(&progress.name) else {
            continue;
        };
        active.adopt(progress.id, progress.request, progress.is_certain);
        if active.order.id != progress.id {
            continue;
        }
        active.follow_start(progress, now);
        active.sources.receive(report, progress, now);
    }
}

/// applies stops that another daemon sent; what is new is passed on if `is_forwarded`
pub fn apply_stops<D: Dialect>(shared: &Shared<D>, stops: &[Stop], is_forwarded: bool) {
    shared.merge_stops(stops, "a peer states it", is_forwarded);
}

impl Active {
    /// takes over the time of the request from a daemon that knew of it earlier
    fn follow_start(&mut self, progress: &Progress, now: Instant) {
        let elapsed = Duration::from_millis(progress.elapsed_ms);
        let Some(started_at) = now.checked_sub(elapsed).filter(|_| !elapsed.is_zero()) else {
            return;
        };
        self.seen_at = self.seen_at.min(started_at);
        self.started_at = self.started_at.min(started_at);
    }

    fn progress(&self, now: Instant) -> Progress {
        Progress {
            name: self.entry.name.clone(),
            id: self.order.id,
            request: self.entry.request,
            is_certain: self.entry.is_certain,
            // a time of the request from a checkpoint is not passed on: the time of day of one daemon may
            // be wrong
            elapsed_ms: millis(now.saturating_duration_since(self.seen_at)),
            ..Progress::default()
        }
    }
}

impl<D: Dialect> Shared<D> {
    /// what this daemon reports of roll-outs in progress
    pub(crate) fn rollout_progress(&self) -> Vec<Progress> {
        let now = self.clock.now();
        let mut all = self.rollouts.active.borrow_mut();
        let in_progress = all.values_mut().filter(|active| active.is_in_progress());
        let report = in_progress.map(|active| {
            let (bound, repeatable) = self.in_flight_before(active);
            let mut evidence = Evidence::new();
            active
                .next_part(PEERS, now)
                .add(&active.evidence, &mut evidence);
            Progress {
                daemons: 1,
                sending: u32::from(active.is_sending()),
                bound,
                repeatable,
                age_ms: millis(active.age),
                evidence,
                ..active.progress(now)
            }
        });
        report.collect()
    }

    /// what this daemon's zone reports
    pub(crate) fn rollout_progress_of_zone(&self) -> Vec<Progress> {
        self.rollout_sums(ZONES, |sender| sender.scope == Scope::Daemon)
    }

    /// what all daemons report but one of this zone
    pub(crate) fn rollout_progress_for(&self, receiver: &Report) -> Vec<Progress> {
        self.rollout_sums(&receiver.from, |sender| {
            let is_receiver = sender.from == receiver.from && sender.instance == receiver.instance;
            !is_receiver
        })
    }

    /// this daemon's evidence and that of the senders that are included
    fn rollout_sums(
        &self,
        receiver: &str,
        is_included: impl Fn(&Sender<'_>) -> bool,
    ) -> Vec<Progress> {
        let now = self.clock.now();
        let mut all = self.rollouts.active.borrow_mut();
        let in_progress = all.values_mut().filter(|active| active.is_in_progress());
        let report = in_progress.map(|active| {
            let part = active.next_part(receiver, now);
            let mut sum = self.rollout_sum(active, &is_included, part, now);
            sum.daemons += 1;
            Progress {
                daemons: sum.daemons,
                sending: sum.remaining.sending,
                bound: sum.remaining.bound,
                repeatable: sum.remaining.repeatable,
                age_ms: millis(active.age),
                evidence: sum.evidence,
                ..active.progress(now)
            }
        });
        report.collect()
    }

    /// sum of what this daemon knows and of the senders that are included and count here; the number of
    /// daemons is that of the others
    pub(super) fn rollout_sum(
        &self,
        active: &Active,
        is_included: impl Fn(&Sender<'_>) -> bool,
        part: Part,
        now: Instant,
    ) -> Sum {
        let mut sum = Sum::default();
        part.add(&active.evidence, &mut sum.evidence);
        sum.remaining.sending = u32::from(active.is_sending());
        (sum.remaining.bound, sum.remaining.repeatable) = self.in_flight_before(active);
        let topology = self.rollouts.topology.borrow();
        if let Some(topology) = topology.as_ref() {
            let accepts = |sender: &Sender<'_>| sender.is_accepted(topology) && is_included(sender);
            active.sources.add_to(&mut sum, accepts, part, now);
        }
        sum
    }

    /// this daemon's requests in flight at the versions before: those that must not be interrupted, and the
    /// others
    fn in_flight_before(&self, active: &Active) -> (u64, u64) {
        let open = self.rollouts.open.borrow();
        let of_service = open
            .values()
            .filter(|open| open.service == active.order.service);
        let before = of_service.filter(|open| open.version != active.order.target);
        before.fold((0, 0), |(bound, repeatable), open| {
            if open.is_bound {
                (bound + 1, repeatable)
            } else {
                (bound, repeatable + 1)
            }
        })
    }

    fn is_report_accepted(&self, report: &Report) -> bool {
        let topology = self.rollouts.topology.borrow();
        topology
            .as_ref()
            .is_some_and(|topology| topology.accepts(report))
    }

    /// the stops to report
    pub(crate) fn stops_in_force(&self) -> Vec<Stop> {
        self.rollouts.stops.borrow().in_force(Instant::now())
    }

    /// adds stops; what is new is sent to the peers if `is_forwarded`
    pub(super) fn merge_stops(&self, stops: &[Stop], cause: &str, is_forwarded: bool) {
        if self.settings.rollout.is_none() {
            return;
        }
        for stop in stops {
            let is_new = self
                .rollouts
                .stops
                .borrow_mut()
                .add(stop.clone(), Instant::now());
            if !is_new {
                continue;
            }
            tracing::warn!(
                event = "version_stopped",
                service = stop.service,
                version = stop.version,
                request = stop.request,
                is_bad = stop.is_bad,
                cause,
            );
            if is_forwarded {
                let mut news = self.rollouts.news.borrow_mut();
                if news.len() < MAX_NEWS {
                    news.push(stop.clone());
                }
                self.rollouts.news_ready.notify_one();
            }
            self.rollouts.changed.notify_one();
            self.rollouts.checkpoint_due.notify_one();
        }
    }
}
