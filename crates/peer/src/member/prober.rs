use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::Table;
use super::timing::{
    DIRECT_TIMEOUT, INDIRECT_TIMEOUT, PROBE_PERIOD, REMOTE_SUSPECT_PROBE_DELAY,
    REMOTE_SUSPICION_TIMEOUT, SUSPECT_PROBE_PERIOD, SUSPICION_TIMEOUT, jittered,
};

/// an action of the failure detector, for the caller to carry out
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// probe a member
    Probe {
        /// instance to probe
        target: u64,
        /// incarnation under suspicion
        suspected: Option<u64>,
    },
    /// ask others to probe a member
    ProbeIndirectly {
        /// instance to probe
        target: u64,
        /// incarnation under suspicion
        suspected: Option<u64>,
    },
    /// send the result of an indirect probe to the member that asked for it
    Confirm {
        /// instance that asked
        requester: u64,
        /// instance that responded
        target: u64,
    },
    /// mark a member as suspected
    Suspect(u64),
    /// mark a member as gone
    MarkGone(u64),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ProbeStage {
    Direct,
    Indirect,
    Relay,
}

struct PendingProbe {
    stage: ProbeStage,
    deadline: Instant,
    requesters: Vec<u64>,
}

struct Suspicion {
    incarnation: u64,
    next_probe: Instant,
    deadline: Instant,
}

/// failure detector: schedule of probes, probes in flight and suspicions
pub struct Prober {
    next_ring_probe: Instant,
    next_random_probe: Instant,
    pending: BTreeMap<u64, PendingProbe>,
    suspicions: BTreeMap<u64, Suspicion>,
}

impl Prober {
    /// a detector whose first probe is after a random part of a period
    pub fn new(now: Instant, random: &mut impl Rng) -> Prober {
        let start = now + PROBE_PERIOD.mul_f64(random.random::<f64>());
        Prober {
            next_ring_probe: start,
            next_random_probe: start + PROBE_PERIOD / 2,
            pending: BTreeMap::new(),
            suspicions: BTreeMap::new(),
        }
    }

    /// the actions that are due
    pub fn poll(&mut self, table: &Table, now: Instant, random: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_probes(table, now, &mut actions);
        self.expire_suspicions(now, &mut actions);
        if now >= self.next_ring_probe {
            self.next_ring_probe = now + jittered(PROBE_PERIOD, random);
            if let Some(target) = table.successor() {
                self.start_probe(target, now, &mut actions);
            }
        }
        if now >= self.next_random_probe {
            self.next_random_probe = now + jittered(PROBE_PERIOD, random);
            let target = table
                .data_centre_peers()
                .map(|r| r.member.instance)
                .choose(random);
            if let Some(target) = target {
                self.start_probe(target, now, &mut actions);
            }
        }
        actions
    }

    fn start_probe(&mut self, target: u64, now: Instant, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&target) {
            return;
        }
        let probe = PendingProbe {
            stage: ProbeStage::Direct,
            deadline: now + DIRECT_TIMEOUT,
            requesters: Vec::new(),
        };
        self.pending.insert(target, probe);
        let suspected = self.suspected_incarnation(target);
        actions.push(Action::Probe { target, suspected });
    }

    fn expire_probes(&mut self, table: &Table, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, probe)| now >= probe.deadline)
            .map(|(target, _)| *target)
            .collect();
        for target in due {
            self.expire_probe(target, table, now, actions);
        }
    }

    fn expire_probe(
        &mut self,
        target: u64,
        table: &Table,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let suspected = self.suspected_incarnation(target);
        let Some(probe) = self.pending.get_mut(&target) else {
            return;
        };
        match probe.stage {
            ProbeStage::Direct => {
                probe.stage = ProbeStage::Indirect;
                probe.deadline = now + INDIRECT_TIMEOUT;
                actions.push(Action::Probe { target, suspected });
                actions.push(Action::ProbeIndirectly { target, suspected });
            }
            ProbeStage::Indirect => {
                self.pending.remove(&target);
                self.suspect(target, table, now, actions);
            }
            ProbeStage::Relay => {
                self.pending.remove(&target);
            }
        }
    }

    fn suspect(&mut self, target: u64, table: &Table, now: Instant, actions: &mut Vec<Action>) {
        let Some(entry) = table.get(target) else {
            return;
        };
        let suspicion = Suspicion {
            incarnation: entry.record.incarnation,
            next_probe: now,
            deadline: now + SUSPICION_TIMEOUT,
        };
        if let Some(existing) = self.suspicions.get_mut(&target) {
            existing.deadline = existing.deadline.min(suspicion.deadline);
            existing.next_probe = now;
            return;
        }
        self.suspicions.insert(target, suspicion);
        self.next_ring_probe = now;
        actions.push(Action::Suspect(target));
    }

    fn expire_suspicions(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for (&target, suspicion) in &mut self.suspicions {
            if now >= suspicion.deadline {
                expired.push(target);
                continue;
            }
            if now < suspicion.next_probe {
                continue;
            }
            suspicion.next_probe = now + SUSPECT_PROBE_PERIOD;
            let suspected = Some(suspicion.incarnation);
            actions.push(Action::Probe { target, suspected });
            actions.push(Action::ProbeIndirectly { target, suspected });
        }
        for target in expired {
            self.remove(target);
            actions.push(Action::MarkGone(target));
        }
    }

    /// registers a probe of `target` on behalf of another member; its response gives a
    /// [`Action::Confirm`]
    pub fn relay(&mut self, target: u64, requester: u64, now: Instant) {
        let probe = self.pending.entry(target).or_insert(PendingProbe {
            stage: ProbeStage::Relay,
            deadline: now + INDIRECT_TIMEOUT,
            requesters: Vec::new(),
        });
        if !probe.requesters.contains(&requester) {
            probe.requesters.push(requester);
        }
    }

    /// probes a member at once, when its connection broke or another member has its address
    pub fn probe_now(&mut self, target: u64, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_probe(target, now, &mut actions);
        actions
    }

    /// records that a member responded; ends its suspicion if the incarnation is higher than
    /// the suspected one
    pub fn record_ack(&mut self, target: u64, incarnation: u64, now: Instant) -> Vec<Action> {
        if let Some(suspicion) = self.suspicions.get_mut(&target) {
            suspicion.next_probe = now;
            suspicion.deadline = suspicion
                .deadline
                .max(now + DIRECT_TIMEOUT + INDIRECT_TIMEOUT);
            if incarnation > suspicion.incarnation {
                self.suspicions.remove(&target);
            }
        }
        let requesters = match self.pending.remove(&target) {
            Some(probe) => probe.requesters,
            None => Vec::new(),
        };
        let confirm = |requester| Action::Confirm { requester, target };
        requesters.into_iter().map(confirm).collect()
    }

    /// ends a direct probe that failed before its time-out; the next poll starts indirect ones
    pub fn probe_failed(&mut self, target: u64, now: Instant) {
        if let Some(probe) = self.pending.get_mut(&target)
            && probe.stage == ProbeStage::Direct
        {
            probe.deadline = now;
        }
    }

    /// records that another member suspects `target`
    pub fn add_remote_suspicion(&mut self, target: u64, incarnation: u64, now: Instant) {
        match self.suspicions.get(&target) {
            Some(existing) if existing.incarnation >= incarnation => {}
            _ => {
                let suspicion = Suspicion {
                    incarnation,
                    next_probe: now + REMOTE_SUSPECT_PROBE_DELAY,
                    deadline: now + REMOTE_SUSPICION_TIMEOUT,
                };
                self.suspicions.insert(target, suspicion);
            }
        }
    }

    /// ends a suspicion of an incarnation below this one
    pub fn clear_refuted(&mut self, target: u64, incarnation: u64) {
        if let Some(existing) = self.suspicions.get(&target)
            && existing.incarnation < incarnation
        {
            self.suspicions.remove(&target);
        }
    }

    /// ends the probe and the suspicion of a member
    pub fn remove(&mut self, target: u64) {
        self.pending.remove(&target);
        self.suspicions.remove(&target);
    }

    /// extends all deadlines by the time for which this process was paused
    pub fn extend_deadlines(&mut self, pause: Duration) {
        for probe in self.pending.values_mut() {
            probe.deadline += pause;
        }
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline += pause;
        }
    }

    fn suspected_incarnation(&self, target: u64) -> Option<u64> {
        self.suspicions.get(&target).map(|s| s.incarnation)
    }
}
