use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::Table;
use super::timing::{DIRECT, HEARD, HEARD_VERIFY, INDIRECT, PERIOD, SUSPICION, VERIFY, jittered};

/// what is to be done for the membership now
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// probe a member
    Ask {
        /// the member
        target: u64,
        /// incarnation under suspicion
        suspected: Option<u64>,
    },
    /// ask others to probe a member
    Check {
        /// the member
        target: u64,
        /// incarnation under suspicion
        suspected: Option<u64>,
    },
    /// tell a member that another one answered
    Confirm {
        /// who asked
        asker: u64,
        /// the member that answered
        target: u64,
    },
    /// suspect a member
    Suspect(u64),
    /// believe a member gone
    Bury(u64),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Direct,
    Indirect,
    Relay,
}

struct Probing {
    stage: Stage,
    deadline: Instant,
    askers: Vec<u64>,
}

struct Suspicion {
    incarnation: u64,
    verify: Instant,
    deadline: Instant,
}

/// schedule of probes and the outcomes still open
pub struct Prober {
    next_ring: Instant,
    next_random: Instant,
    probing: BTreeMap<u64, Probing>,
    suspicions: BTreeMap<u64, Suspicion>,
}

impl Prober {
    /// a schedule that starts with a random part of the first period
    pub fn new(now: Instant, random: &mut impl Rng) -> Prober {
        let start = now + PERIOD.mul_f64(random.random::<f64>());
        Prober {
            next_ring: start,
            next_random: start + PERIOD / 2,
            probing: BTreeMap::new(),
            suspicions: BTreeMap::new(),
        }
    }

    /// the steps that are due
    pub fn poll(&mut self, table: &Table, now: Instant, random: &mut impl Rng) -> Vec<Step> {
        let mut steps = Vec::new();
        self.expire_probes(table, now, &mut steps);
        self.expire_suspicions(now, &mut steps);
        if now >= self.next_ring {
            self.next_ring = now + jittered(PERIOD, random);
            if let Some(target) = table.successor() {
                self.begin(target, now, &mut steps);
            }
        }
        if now >= self.next_random {
            self.next_random = now + jittered(PERIOD, random);
            let target = table.others().map(|r| r.member.instance).choose(random);
            if let Some(target) = target {
                self.begin(target, now, &mut steps);
            }
        }
        steps
    }

    fn begin(&mut self, target: u64, now: Instant, steps: &mut Vec<Step>) {
        if self.probing.contains_key(&target) {
            return;
        }
        let probing = Probing {
            stage: Stage::Direct,
            deadline: now + DIRECT,
            askers: Vec::new(),
        };
        self.probing.insert(target, probing);
        let suspected = self.suspected(target);
        steps.push(Step::Ask { target, suspected });
    }

    fn expire_probes(&mut self, table: &Table, now: Instant, steps: &mut Vec<Step>) {
        let due: Vec<u64> = self
            .probing
            .iter()
            .filter(|(_, probing)| now >= probing.deadline)
            .map(|(target, _)| *target)
            .collect();
        for target in due {
            self.expire(target, table, now, steps);
        }
    }

    fn expire(&mut self, target: u64, table: &Table, now: Instant, steps: &mut Vec<Step>) {
        let suspected = self.suspected(target);
        let Some(probing) = self.probing.get_mut(&target) else {
            return;
        };
        match probing.stage {
            Stage::Direct => {
                probing.stage = Stage::Indirect;
                probing.deadline = now + INDIRECT;
                steps.push(Step::Ask { target, suspected });
                steps.push(Step::Check { target, suspected });
            }
            Stage::Indirect => {
                self.probing.remove(&target);
                self.suspect(target, table, now, steps);
            }
            Stage::Relay => {
                self.probing.remove(&target);
            }
        }
    }

    fn suspect(&mut self, target: u64, table: &Table, now: Instant, steps: &mut Vec<Step>) {
        let Some(entry) = table.get(target) else {
            return;
        };
        let suspicion = Suspicion {
            incarnation: entry.record.incarnation,
            verify: now,
            deadline: now + SUSPICION,
        };
        if let Some(held) = self.suspicions.get_mut(&target) {
            held.deadline = held.deadline.min(suspicion.deadline);
            held.verify = now;
            return;
        }
        self.suspicions.insert(target, suspicion);
        self.next_ring = now;
        steps.push(Step::Suspect(target));
    }

    fn expire_suspicions(&mut self, now: Instant, steps: &mut Vec<Step>) {
        let mut dead = Vec::new();
        for (&target, suspicion) in &mut self.suspicions {
            if now >= suspicion.deadline {
                dead.push(target);
                continue;
            }
            if now < suspicion.verify {
                continue;
            }
            suspicion.verify = now + VERIFY;
            let suspected = Some(suspicion.incarnation);
            steps.push(Step::Ask { target, suspected });
            steps.push(Step::Check { target, suspected });
        }
        for target in dead {
            self.forget(target);
            steps.push(Step::Bury(target));
        }
    }

    /// probes a member on behalf of another
    pub fn relay(&mut self, target: u64, asker: u64, now: Instant) {
        let probing = self.probing.entry(target).or_insert(Probing {
            stage: Stage::Relay,
            deadline: now + INDIRECT,
            askers: Vec::new(),
        });
        if !probing.askers.contains(&asker) {
            probing.askers.push(asker);
        }
    }

    /// probes a member at once, because its connection broke or its address was taken
    pub fn hurry(&mut self, target: u64, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        self.begin(target, now, &mut steps);
        steps
    }

    /// a member answered under this incarnation
    pub fn answered(&mut self, target: u64, incarnation: u64, now: Instant) -> Vec<Step> {
        if let Some(suspicion) = self.suspicions.get_mut(&target) {
            suspicion.verify = now;
            suspicion.deadline = suspicion.deadline.max(now + DIRECT + INDIRECT);
            if incarnation > suspicion.incarnation {
                self.suspicions.remove(&target);
            }
        }
        let askers = match self.probing.remove(&target) {
            Some(probing) => probing.askers,
            None => Vec::new(),
        };
        let confirm = |asker| Step::Confirm { asker, target };
        askers.into_iter().map(confirm).collect()
    }

    /// the direct probe of a member failed before its time-out
    pub fn failed(&mut self, target: u64, now: Instant) {
        if let Some(probing) = self.probing.get_mut(&target)
            && probing.stage == Stage::Direct
        {
            probing.deadline = now;
        }
    }

    /// another member suspects this one
    pub fn hear(&mut self, target: u64, incarnation: u64, now: Instant) {
        match self.suspicions.get(&target) {
            Some(held) if held.incarnation >= incarnation => {}
            _ => {
                let suspicion = Suspicion {
                    incarnation,
                    verify: now + HEARD_VERIFY,
                    deadline: now + HEARD,
                };
                self.suspicions.insert(target, suspicion);
            }
        }
    }

    /// the suspicion of incarnations below this one is refuted
    pub fn refuted(&mut self, target: u64, incarnation: u64) {
        if let Some(held) = self.suspicions.get(&target)
            && held.incarnation < incarnation
        {
            self.suspicions.remove(&target);
        }
    }

    /// ends all that is open about a member
    pub fn forget(&mut self, target: u64) {
        self.probing.remove(&target);
        self.suspicions.remove(&target);
    }

    /// puts off everything open, because this process itself was paused
    pub fn postpone(&mut self, pause: Duration) {
        for probing in self.probing.values_mut() {
            probing.deadline += pause;
        }
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline += pause;
        }
    }

    fn suspected(&self, target: u64) -> Option<u64> {
        self.suspicions.get(&target).map(|s| s.incarnation)
    }
}
