//! Daemons in simulated time that send a limited VM whatever they may.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::notice::{Daemon, Limited, Reach, share};
use route::placement::{
    Balancer, Choice, Completion, Distance, Member, Outcome, Request, TimeLimit, Work,
};
use tokio::time::Instant;

/// span in which requests are counted, seconds
pub const WINDOW_S: f64 = 4.0;

/// time step, milliseconds
const STEP_MS: u64 = 50;

/// longest time until a daemon knows that another one has joined or is lost, milliseconds
const MAX_VIEW_DELAY_MS: u64 = 2000;

/// time until a process that has started knows the limit from a report, milliseconds
const REPORT_MS: u64 = 500;

/// time after the start from which requests are counted, milliseconds
const STABLE_MS: u64 = 4000;

const SERVICE: &str = "desk";
const VM: &str = "vm-1";
const WORK: Work = Work {
    prefill_tokens: 0,
    held: 0,
};

/// what happens to some of the daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// nothing
    None,
    /// a part of them is cut off from the others, not from the VM
    Cut,
    /// each of some is cut off from all others
    Scatter,
    /// some stand still for a while
    Freeze,
    /// some are killed and start again
    Restart,
    /// all are killed and start again
    RestartAll,
}

impl Trouble {
    pub const ALL: [Trouble; 6] = [
        Trouble::None,
        Trouble::Cut,
        Trouble::Scatter,
        Trouble::Freeze,
        Trouble::Restart,
        Trouble::RestartAll,
    ];
}

struct Process {
    name: String,
    zone: String,
    balancer: Balancer,
    reach: Reach,
    /// daemons that it holds for members
    view: BTreeSet<usize>,
    /// changes of the view to come: time, daemon, whether it is a member
    changes: Vec<(u64, usize, bool)>,
    /// time until which it does nothing
    still_until_ms: u64,
    /// time at which it gets the limit
    told_ms: u64,
    /// number of the side of a cut on which it is
    side: usize,
}

pub struct Fleet {
    limit: f64,
    start: Instant,
    now_ms: u64,
    random: ChaCha8Rng,
    processes: Vec<Process>,
    sent_ms: Vec<u64>,
}

impl Fleet {
    pub fn new(daemons: usize, limit: f64, seed: u64) -> Fleet {
        let start = Instant::now();
        let all: BTreeSet<usize> = (0..daemons).collect();
        let process = |number: usize| Process {
            name: format!("daemon-{number}"),
            zone: format!("zone-{}", number % 3),
            balancer: balancer(),
            reach: Reach::default(),
            view: all.clone(),
            changes: Vec::new(),
            still_until_ms: 0,
            told_ms: 0,
            side: 0,
        };
        let mut fleet = Fleet {
            limit,
            start,
            now_ms: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            processes: (0..daemons).map(process).collect(),
            sent_ms: Vec::new(),
        };
        for number in 0..daemons {
            fleet.divide(number);
        }
        fleet
    }

    /// causes trouble now; an earlier cut heals
    pub fn cause(&mut self, trouble: Trouble) {
        let count = self.processes.len();
        let some = |random: &mut ChaCha8Rng| {
            let part = (count / 3).max(1);
            (0..count).choose_multiple(random, part)
        };
        let mut sides = vec![0; count];
        match trouble {
            Trouble::None => {}
            Trouble::Cut => {
                for number in some(&mut self.random) {
                    sides[number] = 1;
                }
            }
            Trouble::Scatter => {
                for (side, number) in some(&mut self.random).into_iter().enumerate() {
                    sides[number] = side + 1;
                }
            }
            Trouble::Freeze => {
                for number in some(&mut self.random) {
                    let still_ms = self.random.random_range(500..4000);
                    self.processes[number].still_until_ms = self.now_ms + still_ms;
                    self.announce(number, false);
                    self.announce_at(number, true, self.now_ms + still_ms);
                }
            }
            Trouble::Restart => {
                for number in some(&mut self.random) {
                    self.restart(number);
                }
            }
            Trouble::RestartAll => {
                for number in 0..count {
                    self.restart(number);
                }
            }
        }
        self.set_sides(&sides);
    }

    pub fn run(&mut self, seconds: f64) {
        let end_ms = self.now_ms + (seconds * 1000.0) as u64;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for number in 0..self.processes.len() {
                if self.processes[number].still_until_ms <= self.now_ms {
                    self.act(number);
                }
            }
        }
    }

    /// largest number of requests of daemons that know the limit within [`WINDOW_S`]
    pub fn most_in_window(&self) -> usize {
        let window_ms = (WINDOW_S * 1000.0) as u64;
        let first = self.sent_ms.partition_point(|at| *at < STABLE_MS);
        let counted = &self.sent_ms[first..];
        let count = |(index, start): (usize, &u64)| {
            let end = counted.partition_point(|at| *at < start + window_ms);
            end - index
        };
        counted.iter().enumerate().map(count).max().unwrap_or(0)
    }

    fn act(&mut self, number: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let process = &mut self.processes[number];
        let due: Vec<_> = process
            .changes
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        let is_told_now = process.told_ms > now_ms - STEP_MS && process.told_ms <= now_ms;
        let is_changed = !due.is_empty() || is_told_now;
        for (_, other, is_member) in due {
            if is_member {
                process.view.insert(other);
            } else {
                process.view.remove(&other);
            }
        }
        if is_changed {
            self.divide(number);
        }
        let process = &mut self.processes[number];
        if process.told_ms > now_ms {
            return;
        }
        let request = request();
        if let Choice::Send(pick) = process.balancer.choose(&request, now) {
            process.balancer.begin(&request, &pick.id, &WORK, now);
            let completion = Completion {
                service: SERVICE,
                id: &pick.id,
                work: &WORK,
                outcome: Outcome::Answered,
                took: None,
            };
            process.balancer.end(&completion, now);
            self.sent_ms.push(now_ms);
        }
    }

    /// divides the limit by the view of a daemon
    fn divide(&mut self, number: usize) {
        let now = self.now();
        let process = &self.processes[number];
        let daemons: Vec<Daemon<'_>> = process
            .view
            .iter()
            .map(|other| Daemon {
                name: &self.processes[*other].name,
                zone: &self.processes[*other].zone,
            })
            .collect();
        let part = process.reach.part(daemons.len(), now);
        let vm = Limited {
            id: VM,
            zone: "zone-1",
            limit: self.limit,
            part,
        };
        let per_second = share(&vm, &process.name, &daemons);
        let is_told = process.told_ms <= self.now_ms;
        let balancer = &mut self.processes[number].balancer;
        balancer.set_limits(|_, _| is_told.then_some(per_second), now);
    }

    /// a process starts again: it knows itself, and the number of the others from the store
    fn restart(&mut self, number: usize) {
        let (now_ms, now, count) = (self.now_ms, self.now(), self.processes.len());
        let joins: Vec<(u64, usize, bool)> = (0..count)
            .map(|other| (now_ms + self.random.random_range(200..1500), other, true))
            .collect();
        let process = &mut self.processes[number];
        process.balancer = balancer();
        process.reach = Reach::default();
        process.reach.record(count, now);
        process.view = BTreeSet::from([number]);
        process.changes = joins;
        process.told_ms = now_ms + REPORT_MS;
        self.announce(number, false);
        self.announce_at(number, true, now_ms + 300);
    }

    /// lets the others know within some time whether a daemon is a member
    fn announce(&mut self, number: usize, is_member: bool) {
        self.announce_at(number, is_member, self.now_ms);
    }

    fn announce_at(&mut self, number: usize, is_member: bool, from_ms: u64) {
        for other in 0..self.processes.len() {
            if other != number {
                let delay_ms = self.random.random_range(100..MAX_VIEW_DELAY_MS);
                let change = (from_ms + delay_ms, number, is_member);
                self.processes[other].changes.push(change);
            }
        }
    }

    /// cuts the sides off from each other
    fn set_sides(&mut self, sides: &[usize]) {
        for number in 0..sides.len() {
            for other in 0..sides.len() {
                let was_cut = self.processes[number].side != self.processes[other].side;
                let is_cut = sides[number] != sides[other];
                if was_cut != is_cut {
                    let delay_ms = self.random.random_range(100..MAX_VIEW_DELAY_MS);
                    let change = (self.now_ms + delay_ms, other, !is_cut);
                    self.processes[number].changes.push(change);
                }
            }
        }
        for (process, side) in self.processes.iter_mut().zip(sides) {
            process.side = *side;
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new();
    let member = Member {
        id: VM.to_owned(),
        started_at_ms: 1,
        version: String::new(),
        distance: Distance::Zone,
        slots: 64,
        cache_tokens: None,
        transfer: None,
        connections: 10_000,
    };
    balancer.set_daemons(1);
    balancer.set_members(SERVICE, vec![member]);
    balancer
}

fn request<'a>() -> Request<'a> {
    Request {
        service: SERVICE,
        parts: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        time_limit: TimeLimit::total(Duration::from_secs(10)),
        draw: 1,
        avoid: &[],
        version: None,
    }
}
