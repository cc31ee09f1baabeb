//! A simulated deployment: daemons with late reports of each other's loads, engines with a queue
//! for prefill and a number of slots, and callers that come back as told.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::fairness::{Attempt as Share, Demands, Fairness, work};
use route::placement::{
    Balancer, Caller, Choice, Completion, Distance, Full, Kind, Load, Member, Outcome, Pick, Rate,
    Refused, Request, Returns, Sample, TimeLimit, Work, time_limit,
};
use tokio::time::Instant;

use super::setup::{Count, Counts, Setup, Source};

pub const SERVICE: &str = "llm";

/// time that a request takes to another region and back
const LINK_MS: f64 = 40.0;

/// time to the first token of an idle engine with an empty prompt
const BASE_MS: f64 = 50.0;

/// attempts of a caller, the first one included
const MAX_ATTEMPTS: u32 = 4;

/// age of reports of daemons of the same zone and of others, and the interval at which they arrive
const ZONE_AGE_MS: u64 = 500;
const REMOTE_AGE_MS: u64 = 1300;
const REPORT_INTERVAL_MS: u64 = 500;

const SNAPSHOT_INTERVAL_MS: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Snapshot,
    Reports(usize),
    Loss(usize),
    Attempt(usize),
    FirstToken(usize),
    End(usize),
}

#[derive(Debug, Clone)]
struct Attempt {
    source: usize,
    zone: usize,
    first_at: u64,
    number: u32,
    /// the same at each attempt
    draw: u64,
    /// once it has been sent
    sent: Option<Sent>,
}

/// where and when an attempt was sent, and with which expectation
#[derive(Debug, Clone)]
struct Sent {
    daemon: usize,
    work: Work,
    pick: Pick,
    at_us: u64,
}

struct Vm {
    zone: usize,
    prefill_free_at: f64,
    ends: Vec<f64>,
}

struct Daemon {
    zone: usize,
    balancer: Balancer,
    fairness: Fairness,
    returns: Returns,
    snapshots: Vec<Snapshot>,
}

/// what a daemon reports
struct Snapshot {
    at_ms: u64,
    loads: HashMap<String, Load>,
    rate: Rate,
    demands: Demands,
}

pub struct Cluster {
    setup: Setup,
    rng: ChaCha8Rng,
    start: Instant,
    now_us: u64,
    vms: BTreeMap<String, Vm>,
    daemons: Vec<Daemon>,
    attempts: Vec<Attempt>,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    counts: Counts,
}

impl Cluster {
    pub fn new(setup: Setup) -> Cluster {
        let start = Instant::now();
        let mut vms = BTreeMap::new();
        for (zone, count) in setup.vms.iter().enumerate() {
            for number in 0..*count {
                let vm = Vm {
                    zone,
                    prefill_free_at: 0.0,
                    ends: Vec::new(),
                };
                vms.insert(format!("z{zone}-vm{number}"), vm);
            }
        }
        let daemons = (0..setup.vms.len() * setup.daemons_per_zone).map(|number| Daemon {
            zone: number / setup.daemons_per_zone,
            balancer: Balancer::new(),
            fairness: Fairness::new(),
            returns: Returns::new(start),
            snapshots: Vec::new(),
        });
        let daemons = daemons.collect();
        Cluster {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            start,
            now_us: 0,
            vms,
            daemons,
            attempts: Vec::new(),
            queue: BinaryHeap::new(),
            counts: Counts::new(),
            setup,
        }
    }

    /// runs to the end; returns what became of the callers
    pub fn run(mut self) -> Counts {
        self.set_members();
        self.generate();
        for ms in (0..self.setup.duration_ms).step_by(SNAPSHOT_INTERVAL_MS as usize) {
            self.push(ms as f64, Event::Snapshot);
        }
        for index in 0..self.daemons.len() {
            let offset = self.rng.random_range(1..REPORT_INTERVAL_MS);
            for ms in (offset..self.setup.duration_ms).step_by(REPORT_INTERVAL_MS as usize) {
                self.push(ms as f64, Event::Reports(index));
            }
        }
        for index in 0..self.setup.losses.len() {
            self.push(self.setup.losses[index].0 as f64, Event::Loss(index));
        }
        while let Some(Reverse((at, event))) = self.queue.pop() {
            self.now_us = at;
            match event {
                Event::Snapshot => self.snapshot(),
                Event::Reports(index) => self.report(index),
                Event::Loss(index) => self.lose(index),
                Event::Attempt(id) => self.attempt(id),
                Event::FirstToken(id) => self.first_token(id),
                Event::End(id) => self.end(id),
            }
        }
        self.counts
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / 1000.0
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.queue
            .push(Reverse(((at_ms * 1000.0).round() as u64, event)));
    }

    fn distance(&self, from: usize, to: usize) -> Distance {
        let half = self.setup.vms.len() / 2;
        match (from == to, (from < half) == (to < half)) {
            (true, _) => Distance::Zone,
            (false, true) => Distance::Region,
            (false, false) => Distance::Link,
        }
    }

    fn set_members(&mut self) {
        for index in 0..self.daemons.len() {
            let zone = self.daemons[index].zone;
            let members = self.vms.iter().map(|(id, vm)| Member {
                id: id.clone(),
                started_at_ms: 0,
                version: String::new(),
                distance: self.distance(zone, vm.zone),
                slots: self.setup.slots,
                cache_tokens: Some(500_000),
                connections: 4000,
                transfer: None,
            });
            let members = members.collect();
            let daemons = self.daemons.len();
            let balancer = &mut self.daemons[index].balancer;
            balancer.set_members(SERVICE, members);
            balancer.set_daemons(daemons);
            balancer.set_report_interval(Duration::from_millis(REPORT_INTERVAL_MS));
        }
    }

    fn generate(&mut self) {
        for source in 0..self.setup.sources.len() {
            for zone in 0..self.setup.vms.len() {
                let mut ms = 0;
                while ms < self.setup.duration_ms {
                    let per_second = (self.setup.sources[source].per_second)(ms, zone);
                    // in steps of 10 ms, at most one caller each
                    if self.rng.random_bool((per_second / 100.0).min(1.0)) {
                        let offset: f64 = self.rng.random_range(0.0..10.0);
                        let first_at = ms as f64 + offset;
                        self.attempts.push(Attempt {
                            source,
                            zone,
                            first_at: (first_at * 1000.0) as u64,
                            number: 1,
                            draw: self.rng.random(),
                            sent: None,
                        });
                        self.push(first_at, Event::Attempt(self.attempts.len() - 1));
                    }
                    ms += 10;
                }
            }
        }
    }

    fn snapshot(&mut self) {
        let (at, now) = (self.now_us / 1000, self.now());
        let dead = self.setup.dead.filter(|(dead_at, _)| *dead_at <= at);
        for daemon in &mut self.daemons {
            if dead.is_some_and(|(_, zone)| zone == daemon.zone) {
                daemon.snapshots.clear();
                continue;
            }
            daemon.snapshots.push(Snapshot {
                at_ms: at,
                loads: daemon.balancer.loads(),
                rate: daemon.balancer.rate(SERVICE, now),
                demands: daemon.fairness.demands(now),
            });
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now();
        let zone = self.daemons[index].zone;
        let mut others: HashMap<String, Load> = HashMap::new();
        let mut demands = Demands::new();
        let mut rate = Rate::default();
        for (other, daemon) in self.daemons.iter().enumerate() {
            let age = if daemon.zone == zone {
                ZONE_AGE_MS
            } else {
                REMOTE_AGE_MS
            };
            let at = (self.now_us / 1000).checked_sub(age + self.setup.extra_age_ms);
            let known = at.and_then(|at| {
                let mut known = daemon.snapshots.iter().rev();
                known.find(|snapshot| snapshot.at_ms <= at)
            });
            if let (true, Some(known)) = (other != index, known) {
                for (vm, load) in &known.loads {
                    others.entry(vm.clone()).or_default().add(load);
                }
                rate.add(&known.rate);
                for (service, workspaces) in &known.demands {
                    let sums = demands.entry(service.clone()).or_default();
                    for (workspace, demand) in workspaces {
                        sums.entry(workspace.clone()).or_default().add(demand);
                    }
                }
            }
        }
        let vms = self.vms.len();
        let daemon = &mut self.daemons[index];
        daemon.balancer.set_peer_loads("others", others, now);
        daemon.balancer.set_peer_rate(SERVICE, rate, now);
        daemon.fairness.set_peer("others", &demands, now);
        daemon.fairness.update(|_| vms, |_| 1.0, now);
        for (service, state) in daemon.fairness.states() {
            daemon.balancer.set_short(service, state.is_short);
        }
    }

    fn lose(&mut self, index: usize) {
        let (_, zone, count) = self.setup.losses[index];
        let ids = self.vms.iter().filter(|(_, vm)| vm.zone == zone);
        let lost: Vec<String> = ids.map(|(id, _)| id.clone()).take(count).collect();
        self.vms.retain(|id, _| !lost.contains(id));
        self.set_members();
    }

    fn count(&mut self, id: usize) -> &mut Count {
        let attempt = &self.attempts[id];
        self.counts
            .entry((attempt.source, attempt.zone))
            .or_default()
    }

    /// a daemon of a zone, or of the next one if those of the zone are dead
    fn daemon(&mut self, zone: usize) -> usize {
        let in_zone = self.rng.random_range(0..self.setup.daemons_per_zone);
        let dead = self.setup.dead;
        let zone = match dead.filter(|(at, _)| *at <= self.now_us / 1000) {
            Some((_, dead)) if dead == zone => (zone + 1) % self.setup.vms.len(),
            _ => zone,
        };
        zone * self.setup.daemons_per_zone + in_zone
    }

    fn attempt(&mut self, id: usize) {
        let attempt = self.attempts[id].clone();
        if attempt.number == 1 {
            self.count(id).callers += 1;
        }
        let index = self.daemon(attempt.zone);
        let draw: u64 = self.rng.random();
        let source = &self.setup.sources[attempt.source];
        let (kind, tokens) = (source.kind, source.tokens);
        let kinds: Vec<Kind> = self.setup.sources.iter().map(|other| other.kind).collect();
        let timeout = Duration::from_millis(source.timeout_ms);
        let waited = Duration::from_micros(self.now_us - attempt.first_at);
        let left = timeout.saturating_sub(waited);
        let share = share(source, &attempt);
        let caller = Caller {
            standing: self.daemons[index].fairness.standing(&share, attempt.draw),
            ..Caller::new(Some(left), timeout, Duration::ZERO)
        };
        let parts = [(draw, tokens)];
        let request = request(&parts, time_limit(kind, &kinds, &caller));
        let now = self.now();
        let Daemon {
            balancer,
            fairness,
            returns,
            ..
        } = &mut self.daemons[index];
        let choice = balancer.choose(&request, now);
        if attempt.number == 1 {
            balancer.record_demand(SERVICE, tokens, now);
        }
        let is_refused = !matches!(choice, Choice::Send(_));
        fairness.record(&share, work(tokens, 100), is_refused, now);
        let pick = match choice {
            Choice::Send(pick) => pick,
            Choice::Full(full) => {
                let refused = refused(&full, left, draw);
                let delay = returns.delay(SERVICE, kind.priority, &refused, now);
                return self.refuse(id, delay, left);
            }
            Choice::NoVm => return self.refuse(id, Some(Duration::from_secs(1)), left),
        };
        returns.record_admitted(SERVICE, kind.priority, now);
        let work = Work {
            prefill_tokens: pick.uncached,
            held: pick.uncached + 100,
        };
        balancer.begin(&request, &pick.id, &work, now);
        let sent = Sent {
            daemon: index,
            work,
            pick,
            at_us: self.now_us,
        };
        self.run_request(id, tokens, &sent.pick);
        self.attempts[id].sent = Some(sent);
    }

    fn run_request(&mut self, id: usize, tokens: u32, pick: &Pick) {
        let (vm, distance) = (&pick.id, pick.distance);
        let now = self.now_ms();
        let link = if distance == Distance::Link {
            LINK_MS
        } else {
            0.0
        };
        let slots = self.setup.slots as usize;
        let (rate, decode_ms) = (self.setup.tokens_per_ms, self.setup.decode_ms);
        let Some(vm) = self.vms.get_mut(vm) else {
            return;
        };
        vm.ends.retain(|end| *end > now);
        vm.ends.sort_by(f64::total_cmp);
        let slot_at = match vm.ends.len().checked_sub(slots) {
            Some(over) => vm.ends[over],
            None => now,
        };
        let begin = now.max(vm.prefill_free_at).max(slot_at);
        vm.prefill_free_at = begin + f64::from(tokens) / rate;
        let first = vm.prefill_free_at + BASE_MS;
        vm.ends.push(first + decode_ms);
        self.push(first + link, Event::FirstToken(id));
        self.push(first + link + decode_ms, Event::End(id));
    }

    /// the caller comes back, or gives up
    fn refuse(&mut self, id: usize, wait: Option<Duration>, left: Duration) {
        let number = self.attempts[id].number;
        if number > 1 {
            self.count(id).refused_again += 1;
        }
        let Some(wait) = wait.filter(|_| number < MAX_ATTEMPTS) else {
            self.count(id).refused += 1;
            return;
        };
        let wait = wait.min(left / 3).as_secs_f64() * 1000.0;
        self.attempts[id].number += 1;
        self.push(self.now_ms() + wait, Event::Attempt(id));
    }

    fn first_token(&mut self, id: usize) {
        let attempt = self.attempts[id].clone();
        let Some(sent) = &attempt.sent else {
            return;
        };
        let now = self.now();
        let pick = &sent.pick;
        let sample = Sample {
            prefill_tokens: pick.uncached,
            running: pick.running,
            wait: pick.expected.saturating_sub(pick.unloaded + pick.excess),
            expected: pick.expected,
            excess: pick.excess,
            took: Duration::from_micros(self.now_us - sent.at_us),
        };
        let balancer = &mut self.daemons[sent.daemon].balancer;
        balancer.record_sample(SERVICE, &pick.id, &sample, now);
        balancer.record_first_token(SERVICE, &pick.id, &sent.work);
        let took = Duration::from_micros(self.now_us - attempt.first_at);
        let source = &self.setup.sources[attempt.source];
        let objective = source.kind.objective;
        let is_late = sample.took > objective;
        let share = share(source, &attempt);
        let work = work(source.tokens, 100);
        let fairness = &mut self.daemons[sent.daemon].fairness;
        fairness.record_response(&share, work, is_late, now);
        let count = self.count(id);
        if took <= objective {
            count.in_time += 1;
        } else {
            count.late += 1;
        }
    }

    fn end(&mut self, id: usize) {
        let now = self.now();
        let Some(sent) = self.attempts[id].sent.clone() else {
            return;
        };
        let completion = Completion {
            service: SERVICE,
            id: &sent.pick.id,
            work: &sent.work,
            outcome: Outcome::Answered,
            took: None,
        };
        self.daemons[sent.daemon].balancer.end(&completion, now);
    }
}

fn request(parts: &[(u64, u32); 1], time_limit: TimeLimit) -> Request<'_> {
    let [(draw, tokens)] = *parts;
    Request {
        service: SERVICE,
        parts,
        prompt_tokens: tokens,
        output_tokens: 100,
        time_limit,
        draw,
        avoid: &[],
        version: None,
    }
}

fn refused(full: &Full, left: Duration, draw: u64) -> Refused {
    Refused {
        available_in: full.available_in,
        left,
        draw,
    }
}

/// an attempt as the shares see it
fn share<'a>(source: &Source, attempt: &Attempt) -> Share<'a> {
    Share {
        service: SERVICE,
        workspace: source.workspace,
        priority: source.kind.priority,
        is_repeated: attempt.number > 1,
    }
}
