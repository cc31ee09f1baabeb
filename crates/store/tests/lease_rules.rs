//! The rules of leases under delays, pauses, lost answers and drifting clocks.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use schema::objects::Lease;
use store::lease::{Action, Machine, Seen, Timing, Write};
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(10);
const ACTORS: usize = 3;
/// rates of the actors' clocks, percent; the margin is a tenth
const RATES: [u32; ACTORS] = [96, 100, 104];

/// what becomes of a change that is sent
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    NeverSent,
    LostOnTheWay,
    ArrivesLate,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// an actor asks what to do and does it, or gets the answer of what it did
    Act {
        actor: usize,
        fate: Fate,
        stale: usize,
    },
    /// an actor gives the lease back
    Release { actor: usize },
    /// a change that was on its way arrives
    Arrive { index: usize },
    /// time passes
    Pass { ms: u64 },
}

/// what an actor waits for
#[derive(Debug, Clone)]
enum Answer {
    Written(u64),
    Conflict,
    Unknown,
    NotRun,
    Read(Seen),
}

#[derive(Debug)]
struct Store {
    states: Vec<Seen>,
    late: Vec<Write>,
}

impl Store {
    fn now(&self) -> &Seen {
        self.states.last().expect("a first state")
    }

    fn apply(&mut self, write: &Write) -> Option<u64> {
        let now = self.now();
        let free = if write.create {
            now.spec.is_none()
        } else {
            now.version == write.base
        };
        if !free {
            return None;
        }
        let version = now.version + 1;
        let spec = Some(write.spec.clone());
        self.states.push(Seen { version, spec });
        Some(version)
    }
}

struct Actor {
    machine: Machine,
    answer: Option<Answer>,
    released: bool,
}

struct World {
    store: Store,
    actors: Vec<Actor>,
    begun: Instant,
    elapsed: Duration,
    nonce: u64,
    terms: HashMap<u64, usize>,
    highest: u64,
    acquired: u64,
}

impl World {
    fn new() -> Self {
        let first = Seen {
            version: 5,
            spec: None,
        };
        let mut actors = Vec::new();
        for number in 0..ACTORS {
            actors.push(Actor {
                machine: Machine::new(&format!("vm-{number}"), Timing::new(TTL)),
                answer: None,
                released: false,
            });
        }
        World {
            store: Store {
                states: vec![first],
                late: Vec::new(),
            },
            actors,
            begun: Instant::now(),
            elapsed: Duration::ZERO,
            nonce: 0,
            terms: HashMap::new(),
            highest: 0,
            acquired: 0,
        }
    }

    fn now(&self, actor: usize) -> Instant {
        self.begun + self.elapsed * RATES[actor] / 100
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Act { actor, fate, stale } => match self.actors[actor].answer.take() {
                Some(answer) => self.receive(actor, answer),
                None => self.act(actor, fate, stale),
            },
            Step::Release { actor } => {
                let now = self.now(actor);
                self.nonce += 1;
                self.actors[actor].released = true;
                self.actors[actor]
                    .machine
                    .release(now, &self.nonce.to_string());
            }
            Step::Arrive { index } if !self.store.late.is_empty() => {
                let index = index % self.store.late.len();
                let write = self.store.late.remove(index);
                self.store.apply(&write);
            }
            Step::Arrive { .. } => {}
            Step::Pass { ms } => self.elapsed += Duration::from_millis(ms),
        }
    }

    fn act(&mut self, actor: usize, fate: Fate, stale: usize) {
        let now = self.now(actor);
        self.nonce += 1;
        let action = self.actors[actor]
            .machine
            .next(now, &self.nonce.to_string());
        let answer = match action {
            Action::Wait(_) => return,
            Action::Read => {
                let last = self.store.states.len() - 1;
                Answer::Read(self.store.states[last.saturating_sub(stale)].clone())
            }
            Action::Write(write) => self.send(write, fate),
        };
        self.actors[actor].answer = Some(answer);
    }

    fn send(&mut self, write: Write, fate: Fate) -> Answer {
        match fate {
            Fate::Answered => match self.store.apply(&write) {
                Some(version) => Answer::Written(version),
                None => Answer::Conflict,
            },
            Fate::AnswerLost => {
                self.store.apply(&write);
                Answer::Unknown
            }
            Fate::NeverSent => Answer::NotRun,
            Fate::LostOnTheWay => Answer::Unknown,
            Fate::ArrivesLate => {
                self.store.late.push(write);
                Answer::Unknown
            }
        }
    }

    fn receive(&mut self, actor: usize, answer: Answer) {
        let now = self.now(actor);
        let machine = &mut self.actors[actor].machine;
        match answer {
            Answer::Written(version) => machine.on_written(version, now),
            Answer::Conflict => machine.on_conflict(),
            Answer::Unknown => machine.on_unknown(),
            Answer::NotRun => machine.on_not_run(),
            Answer::Read(seen) => machine.on_read(seen, now),
        }
    }

    /// at most one valid holder, and numbers that only grow
    fn check(&mut self) {
        let mut valid = Vec::new();
        for actor in 0..ACTORS {
            let fence = self.actors[actor].machine.fence_if_valid(self.now(actor));
            valid.extend(fence.map(|fence| (actor, fence)));
        }
        assert!(valid.len() <= 1, "two valid holders: {valid:?}");
        for (actor, fence) in valid {
            assert!(!self.actors[actor].released, "held after its release");
            assert!(fence >= self.highest, "{fence} after {}", self.highest);
            let owner = *self.terms.entry(fence).or_insert(actor);
            assert_eq!(owner, actor, "one number, two holders");
            if fence > self.highest {
                self.acquired += 1;
            }
            self.highest = fence;
        }
    }
}

fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::NeverSent),
        1 => Just(Fate::LostOnTheWay),
        1 => Just(Fate::ArrivesLate),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let act = (
        0..ACTORS,
        any_fate(),
        prop_oneof![3 => Just(0usize), 1 => 0usize..4],
    );
    prop_oneof![
        12 => act.prop_map(|(actor, fate, stale)| Step::Act { actor, fate, stale }),
        1 => (0..ACTORS).prop_map(|actor| Step::Release { actor }),
        2 => (0usize..8).prop_map(|index| Step::Arrive { index }),
        4 => (0u64..4_000).prop_map(|ms| Step::Pass { ms }),
        1 => (0u64..15_000).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    #[test]
    fn never_two_holders(steps in prop::collection::vec(any_step(), 1..250)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            world.check();
        }
    }

    #[test]
    fn whoever_is_left_gets_it(steps in prop::collection::vec(any_step(), 1..100)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.store.late.clear();
        let Some(actor) = world.actors.iter().position(|actor| !actor.released) else {
            return Ok(());
        };
        for _ in 0..60 {
            world.step(Step::Act { actor, fate: Fate::Answered, stale: 0 });
            if world.actors[actor].machine.fence_if_valid(world.now(actor)).is_some() {
                return Ok(());
            }
            world.step(Step::Pass { ms: 500 });
        }
        prop_assert!(false, "not held after three times to live");
    }
}

/// a plain course of events, to see that the property tests are not empty
#[test]
fn terms_follow_each_other() {
    let mut world = World::new();
    for round in 0..200 {
        let actor = if round < 100 { 0 } else { 1 };
        world.step(Step::Act {
            actor,
            fate: Fate::Answered,
            stale: 0,
        });
        world.check();
        world.step(Step::Pass { ms: 400 });
    }
    assert_eq!(world.acquired, 2);
    let last: Option<Lease> = world.store.now().spec.clone();
    assert_eq!(last.unwrap().holder, "vm-1");
}

/// a holder with a slow clock that falls silent, and a successor with a fast one
#[test]
fn the_margin_bears_drifting_clocks() {
    let mut world = World::new();
    let act = |actor| Step::Act {
        actor,
        fate: Fate::Answered,
        stale: 0,
    };
    while world.acquired == 0 {
        world.step(act(0));
        world.check();
    }
    while world.acquired == 1 {
        world.step(act(2));
        world.check();
        world.step(Step::Pass { ms: 10 });
        assert!(world.elapsed < 2 * TTL);
    }
    assert_eq!(world.acquired, 2);
}
