//! The protocol of leases under delays, pauses, lost messages and drifting clocks.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use schema::objects::Lease;
use store::lease::{Action, Protocol, Snapshot, Timing, Write};
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(10);
const ACTORS: usize = 3;
/// speed of the actors' clocks, percent; the margin of a lease is a tenth
const CLOCK_SPEEDS: [u32; ACTORS] = [96, 100, 104];

/// what happens to a write
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Delivered,
    ResponseLost,
    NotSent,
    RequestLost,
    Delayed,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// an actor handles the result of its last action if there is one, else does the next action
    Act {
        actor: usize,
        delivery: Delivery,
        stale: usize,
    },
    /// an actor releases the lease
    Release { actor: usize },
    /// a delayed write arrives
    Deliver { index: usize },
    /// time passes
    Advance { ms: u64 },
}

/// result of an actor's last action
#[derive(Debug, Clone)]
enum ActionResult {
    Written(u64),
    Conflict,
    Unknown,
    NotRun,
    Read(Snapshot),
}

#[derive(Debug)]
struct Store {
    states: Vec<Snapshot>,
    delayed: Vec<Write>,
}

impl Store {
    fn latest(&self) -> &Snapshot {
        self.states.last().expect("there is a first state")
    }

    fn apply(&mut self, write: &Write) -> Option<u64> {
        let latest = self.latest();
        let applies = if write.create {
            latest.spec.is_none()
        } else {
            latest.version == write.base
        };
        if !applies {
            return None;
        }
        let version = latest.version + 1;
        let spec = Some(write.spec.clone());
        self.states.push(Snapshot { version, spec });
        Some(version)
    }
}

struct Actor {
    protocol: Protocol,
    result: Option<ActionResult>,
    released: bool,
}

struct Simulation {
    store: Store,
    actors: Vec<Actor>,
    started: Instant,
    elapsed: Duration,
    nonce: u64,
    holders: HashMap<u64, usize>,
    highest_token: u64,
    terms: u64,
}

impl Simulation {
    fn new() -> Self {
        let first = Snapshot {
            version: 5,
            spec: None,
        };
        let mut actors = Vec::new();
        for number in 0..ACTORS {
            actors.push(Actor {
                protocol: Protocol::new(&format!("vm-{number}"), Timing::new(TTL)),
                result: None,
                released: false,
            });
        }
        Simulation {
            store: Store {
                states: vec![first],
                delayed: Vec::new(),
            },
            actors,
            started: Instant::now(),
            elapsed: Duration::ZERO,
            nonce: 0,
            holders: HashMap::new(),
            highest_token: 0,
            terms: 0,
        }
    }

    fn now(&self, actor: usize) -> Instant {
        self.started + self.elapsed * CLOCK_SPEEDS[actor] / 100
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Act {
                actor,
                delivery,
                stale,
            } => match self.actors[actor].result.take() {
                Some(result) => self.receive(actor, result),
                None => self.act(actor, delivery, stale),
            },
            Step::Release { actor } => {
                let now = self.now(actor);
                self.nonce += 1;
                self.actors[actor].released = true;
                self.actors[actor]
                    .protocol
                    .release(now, &self.nonce.to_string());
            }
            Step::Deliver { index } if !self.store.delayed.is_empty() => {
                let index = index % self.store.delayed.len();
                let write = self.store.delayed.remove(index);
                self.store.apply(&write);
            }
            Step::Deliver { .. } => {}
            Step::Advance { ms } => self.elapsed += Duration::from_millis(ms),
        }
    }

    fn act(&mut self, actor: usize, delivery: Delivery, stale: usize) {
        let now = self.now(actor);
        self.nonce += 1;
        let action = self.actors[actor]
            .protocol
            .next(now, &self.nonce.to_string());
        let result = match action {
            Action::Wait(_) => return,
            Action::Read => {
                let last = self.store.states.len() - 1;
                ActionResult::Read(self.store.states[last.saturating_sub(stale)].clone())
            }
            Action::Write(write) => self.send(write, delivery),
        };
        self.actors[actor].result = Some(result);
    }

    fn send(&mut self, write: Write, delivery: Delivery) -> ActionResult {
        match delivery {
            Delivery::Delivered => match self.store.apply(&write) {
                Some(version) => ActionResult::Written(version),
                None => ActionResult::Conflict,
            },
            Delivery::ResponseLost => {
                self.store.apply(&write);
                ActionResult::Unknown
            }
            Delivery::NotSent => ActionResult::NotRun,
            Delivery::RequestLost => ActionResult::Unknown,
            Delivery::Delayed => {
                self.store.delayed.push(write);
                ActionResult::Unknown
            }
        }
    }

    fn receive(&mut self, actor: usize, result: ActionResult) {
        let now = self.now(actor);
        let protocol = &mut self.actors[actor].protocol;
        match result {
            ActionResult::Written(version) => protocol.on_written(version, now),
            ActionResult::Conflict => protocol.on_conflict(),
            ActionResult::Unknown => protocol.on_unknown(),
            ActionResult::NotRun => protocol.on_not_run(),
            ActionResult::Read(snapshot) => protocol.on_read(snapshot, now),
        }
    }

    /// checks that there is at most one valid holder and that tokens do not decrease
    fn check(&mut self) {
        let mut valid = Vec::new();
        for actor in 0..ACTORS {
            let fence = self.actors[actor].protocol.fence_if_valid(self.now(actor));
            valid.extend(fence.map(|fence| (actor, fence)));
        }
        assert!(valid.len() <= 1, "two valid holders: {valid:?}");
        for (actor, fence) in valid {
            assert!(!self.actors[actor].released, "held after its release");
            assert!(
                fence >= self.highest_token,
                "{fence} after {}",
                self.highest_token
            );
            let holder = *self.holders.entry(fence).or_insert(actor);
            assert_eq!(holder, actor, "one token, two holders");
            if fence > self.highest_token {
                self.terms += 1;
            }
            self.highest_token = fence;
        }
    }
}

fn any_delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Delivered),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::NotSent),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::Delayed),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let act = (
        0..ACTORS,
        any_delivery(),
        prop_oneof![3 => Just(0usize), 1 => 0usize..4],
    );
    prop_oneof![
        12 => act.prop_map(|(actor, delivery, stale)| Step::Act { actor, delivery, stale }),
        1 => (0..ACTORS).prop_map(|actor| Step::Release { actor }),
        2 => (0usize..8).prop_map(|index| Step::Deliver { index }),
        4 => (0u64..4_000).prop_map(|ms| Step::Advance { ms }),
        1 => (0u64..15_000).prop_map(|ms| Step::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    #[test]
    fn there_is_at_most_one_holder(steps in prop::collection::vec(any_step(), 1..250)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
    }

    #[test]
    fn a_remaining_candidate_gets_the_lease(steps in prop::collection::vec(any_step(), 1..100)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        simulation.store.delayed.clear();
        let Some(actor) = simulation.actors.iter().position(|actor| !actor.released) else {
            return Ok(());
        };
        for _ in 0..60 {
            simulation.step(Step::Act { actor, delivery: Delivery::Delivered, stale: 0 });
            if simulation.actors[actor].protocol.fence_if_valid(simulation.now(actor)).is_some() {
                return Ok(());
            }
            simulation.step(Step::Advance { ms: 500 });
        }
        prop_assert!(false, "lease not acquired within three times to live");
    }
}

/// two terms without faults: guards against property tests in which no lease is acquired
#[test]
fn a_second_candidate_acquires_the_lease_after_the_first() {
    let mut simulation = Simulation::new();
    for round in 0..200 {
        let actor = if round < 100 { 0 } else { 1 };
        simulation.step(Step::Act {
            actor,
            delivery: Delivery::Delivered,
            stale: 0,
        });
        simulation.check();
        simulation.step(Step::Advance { ms: 400 });
    }
    assert_eq!(simulation.terms, 2);
    let last: Option<Lease> = simulation.store.latest().spec.clone();
    assert_eq!(last.unwrap().holder, "vm-1");
}

/// a holder with a slow clock stops renewing, and its successor has a fast clock
#[test]
fn the_margin_covers_clock_drift() {
    let mut simulation = Simulation::new();
    let act = |actor| Step::Act {
        actor,
        delivery: Delivery::Delivered,
        stale: 0,
    };
    while simulation.terms == 0 {
        simulation.step(act(0));
        simulation.check();
    }
    while simulation.terms == 1 {
        simulation.step(act(2));
        simulation.check();
        simulation.step(Step::Advance { ms: 10 });
        assert!(simulation.elapsed < 2 * TTL);
    }
    assert_eq!(simulation.terms, 2);
}
