//! A service with VMs of two versions in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::rollout::{
    Bounds, Evidence, MAX_RATIO, Order, Remaining, Sample, State, View, canaries, decide,
};

use super::naive::{self, Naive};
use super::outcome::{BAD_BEFORE_STOP, Outcome, ROLLBACK_MS};

/// time from a response until all daemons count it
const EVIDENCE_MS: u64 = 2500;

/// time for which the old version serves before the request for the roll-out
const START_MS: u64 = 8000;

/// time between two evaluations
const STEP_MS: u64 = 250;

/// shares of the routes, and the expected times of their responses in milliseconds
const ROUTES: [(f64, f64); 4] = [(0.4, 100.0), (0.3, 250.0), (0.2, 400.0), (0.1, 800.0)];

/// the route of faults on one route
pub const FAULTY_ROUTE: usize = 2;

/// what the daemons expect in multiples of the true times; they are wrong by route
const EXPECTED: [f64; 4] = [1.0, 2.5, 0.7, 1.0];

/// time at which all VMs of a zone are reclaimed
const ZONE_LOST_MS: u64 = 3000;

/// spread of the logarithm of times
const SPREAD: f64 = 0.3;

/// responses of a VM for which its caches are cold
const COLD_RESPONSES: u64 = 30;

/// load and size of a service
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub per_s: f64,
    /// VMs of each version
    pub vms: usize,
    pub zones: usize,
    pub daemons: usize,
    pub duration_ms: u64,
}

/// what is wrong with the new version
#[derive(Debug, Clone, Copy, Default)]
pub struct Fault {
    /// part of the responses that are affected
    pub part: f64,
    /// factor of their times; failures if 0
    pub slowness: f64,
    pub from_ms: u64,
    pub is_on_one_route: bool,
    /// only at VMs that have at least 0.9 of an old VM's load
    pub is_under_load: bool,
}

/// what happens beside the versions
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Noise {
    #[default]
    None,
    /// all VMs fail 45 % of requests for 4 s
    Failing,
    /// a seventh of the VMs of both versions is 7.5 times slower
    SlowVms,
    /// a seventh of the VMs of the new version is
    SlowNewVms,
    /// VMs crash one after the other, and have cold caches afterwards
    Crashes,
    /// all VMs of a zone are reclaimed
    Zone,
    /// 15 % of responses are lost
    Lost,
    /// VMs of the new version have cold caches at first: twice the time
    Cold,
    /// a sixth of the VMs runs 2.5 times slower for periods of 600 ms
    Periods,
    /// responses at a seventh of the daemons take three times as long
    SlowDaemons,
}

/// what a daemon records of a response
pub struct Response {
    pub end_ms: u64,
    is_target: bool,
    route: usize,
    vm: String,
    pub is_failed: bool,
    pub ratio: f64,
}

pub struct Service {
    shape: Shape,
    fault: Option<Fault>,
    noise: Noise,
    random: ChaCha8Rng,
    noise_at_ms: u64,
    order: Order,
    /// VMs of the new version, and those of them that get requests
    names: Vec<String>,
    active: Vec<usize>,
    canary_vms: usize,
    /// responses of VMs of the new version
    served: BTreeMap<usize, u64>,
    share: f64,
    full_since: Option<u64>,
    evidence: Evidence,
    /// responses by the time at which all daemons count them
    news: BTreeMap<u64, Vec<Response>>,
    /// begin and end of requests at the old version
    at_old: Vec<(u64, u64)>,
    /// times of bad responses, and of requests sent to the new version
    bad_ms: Vec<u64>,
    sent_ms: Vec<u64>,
    naive: Naive,
    outcome: Outcome,
}

/// a request on its way to a VM
pub struct Sent {
    pub at_ms: u64,
    pub daemon: usize,
    is_target: bool,
    vm: usize,
    /// load of the VM in multiples of that of an old one
    load: f64,
}

pub fn bounds() -> Bounds {
    Bounds::new(0.1, 50.0, Duration::from_millis(ROLLBACK_MS))
}

pub fn order(duration_ms: u64, id: u64) -> Order {
    Order {
        id,
        service: "text".to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_millis(duration_ms),
    }
}

impl Service {
    pub fn new(shape: Shape, fault: Option<Fault>, noise: Noise, seed: u64) -> Service {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names = (0..shape.vms).map(|vm| format!("new-{seed}-{vm}"));
        let mut service = Service {
            shape,
            fault,
            noise,
            noise_at_ms: START_MS + random.random_range(500..shape.duration_ms / 2),
            random,
            order: order(shape.duration_ms, seed),
            names: names.collect(),
            active: Vec::new(),
            canary_vms: 0,
            served: BTreeMap::new(),
            share: 0.0,
            full_since: None,
            evidence: Evidence::new(),
            news: BTreeMap::new(),
            at_old: Vec::new(),
            bad_ms: Vec::new(),
            sent_ms: Vec::new(),
            naive: Naive::new(shape.daemons),
            outcome: Outcome::new(shape.duration_ms),
        };
        service.canary_vms = service.active(0.07).len();
        service
    }

    /// runs the roll-out to its deadline
    pub fn run(mut self) -> Outcome {
        for now_ms in (0..START_MS + self.shape.duration_ms).step_by(STEP_MS as usize) {
            while let Some(news) = self.news.first_entry().filter(|news| *news.key() <= now_ms) {
                for response in news.remove() {
                    record(&mut self.evidence, &response);
                }
            }
            let elapsed_ms = now_ms.checked_sub(START_MS);
            if let Some(elapsed_ms) = elapsed_ms
                && self.outcome.state == State::InProgress
            {
                self.decide(now_ms, elapsed_ms);
            }
            let load: f64 = self.random.random_range(0.5..1.5);
            let sent = load * self.shape.per_s * STEP_MS as f64 / 1000.0;
            let sent = (sent + self.random.random::<f64>()) as u64;
            self.outcome.requests += elapsed_ms.map_or(0, |_| sent);
            for _ in 0..sent {
                self.send(now_ms, elapsed_ms);
            }
        }
        self.bad_ms.sort_unstable();
        if let Some(at_ms) = self.bad_ms.get(BAD_BEFORE_STOP - 1) {
            let last = self.sent_ms.iter().max().copied().unwrap_or(0);
            self.outcome.late_ms = last.saturating_sub(*at_ms);
        }
        self.outcome.exposed = self.sent_ms.len() as u64;
        self.naive.finish(&mut self.outcome);
        self.outcome
    }

    fn decide(&mut self, now_ms: u64, elapsed_ms: u64) {
        let known_ms = now_ms - EVIDENCE_MS;
        let is_confirmed = self.full_since.is_some_and(|full_ms| full_ms <= known_ms);
        let at_old = self.at_old.iter();
        let running = at_old.filter(|(sent, end)| *sent <= known_ms && *end > known_ms);
        let view = View {
            elapsed: Duration::from_millis(elapsed_ms),
            evidence: &self.evidence,
            old_vms: self.live(elapsed_ms),
            target_vms: self.live(elapsed_ms),
            canary_vms: self.canary_vms,
            remaining: Remaining {
                sending: u32::from(!is_confirmed),
                silent: 0,
                bound: running.count() as u64,
                repeatable: 0,
            },
            age: Duration::from_secs(1),
            is_stopped: false,
        };
        let decision = decide(&self.order, &bounds(), &view);
        self.outcome.verdict = decision.verdict;
        self.outcome.state = decision.state;
        self.outcome.finding = decision.finding;
        if decision.state != State::InProgress {
            self.outcome.ended_ms = elapsed_ms;
        }
        self.share = decision.share;
        let is_full = self.share == 1.0;
        self.full_since = is_full.then(|| self.full_since.unwrap_or(now_ms));
        self.active = self.active(self.share);
    }

    /// sends a request, once for this policy and once for the naive one
    fn send(&mut self, now_ms: u64, elapsed_ms: Option<u64>) {
        let at_ms = now_ms + self.random.random_range(0..STEP_MS);
        let daemon = self.random.random_range(0..self.shape.daemons);
        let draw: f64 = self.random.random();
        let vms = self.shape.vms;
        let is_target = draw < self.share && !self.active.is_empty();
        let vm = if is_target {
            self.sent_ms.push(at_ms);
            self.active[self.random.random_range(0..self.active.len())]
        } else {
            let end_ms = at_ms + self.random.random_range(50..2000);
            self.at_old.push((at_ms, end_ms));
            self.random.random_range(0..vms)
        };
        let of_old = (1.0 - self.share).max(0.01) / vms as f64;
        let sent = Sent {
            at_ms,
            daemon,
            is_target,
            vm,
            load: self.share / self.active.len().max(1) as f64 / of_old,
        };
        if let Some((response, is_bad)) = self.respond(&sent) {
            if is_bad {
                self.bad_ms.push(response.end_ms);
            }
            let known_ms = (response.end_ms + EVIDENCE_MS).next_multiple_of(STEP_MS);
            self.news.entry(known_ms).or_default().push(response);
        }
        let share = elapsed_ms.map_or(0.0, |at_ms| naive::share(at_ms, self.shape.duration_ms));
        if draw < share && self.naive.is_running(daemon, at_ms) {
            let sent = Sent {
                is_target: true,
                vm: self.random.random_range(0..vms),
                load: 1.0,
                ..sent
            };
            let response = self.respond(&sent);
            self.naive.record(&sent, response);
        }
    }

    /// VMs of a version that are live
    fn live(&self, elapsed_ms: u64) -> usize {
        let is_zone_lost = self.noise == Noise::Zone && elapsed_ms >= ZONE_LOST_MS;
        let zones = self.shape.zones;
        let lost = if is_zone_lost {
            self.shape.vms / zones
        } else {
            0
        };
        self.shape.vms - lost
    }

    /// VMs of the new version that get requests; a zone is every n-th VM
    fn active(&self, share: f64) -> Vec<usize> {
        let (names, zones) = (&self.names, self.shape.zones);
        let mut active = Vec::new();
        for zone in 0..zones {
            let vms = names.iter().skip(zone).step_by(zones);
            let vms: Vec<&str> = vms.map(String::as_str).collect();
            for name in canaries(&self.order, &vms, vms.len(), share) {
                active.extend(names.iter().position(|other| other == name));
            }
        }
        active
    }

    /// what the daemon records of a request, and whether it is bad because of the version
    fn respond(&mut self, sent: &Sent) -> Option<(Response, bool)> {
        let draw: f64 = self.random.random();
        let route = ROUTES.iter().scan(0.0, |sum, (part, _)| {
            *sum += part;
            Some(*sum)
        });
        let route = route.take_while(|sum| *sum < draw).count();
        let route = route.min(ROUTES.len() - 1);
        let (mut is_failed, noise_factor) = self.disturb(sent)?;
        let fault = self.fault.filter(|fault| {
            let is_on_route = !fault.is_on_one_route || route == FAULTY_ROUTE;
            let is_loaded = !fault.is_under_load || sent.load >= 0.9;
            let is_begun = sent.at_ms >= START_MS + fault.from_ms;
            sent.is_target && is_begun && is_on_route && is_loaded
        });
        let fault = fault.filter(|fault| self.random.random_bool(fault.part));
        let slowness = fault.map_or(1.0, |fault| fault.slowness.max(1.0));
        is_failed |= fault.is_some_and(|fault| fault.slowness == 0.0);
        let factor = (SPREAD * self.normal()).exp() * noise_factor * slowness;
        // an attempt without a response is recorded at this multiple of the expected time
        let factor = factor.min(MAX_RATIO * EXPECTED[route]);
        let response = Response {
            end_ms: sent.at_ms + (ROUTES[route].1 * factor) as u64,
            is_target: sent.is_target,
            route,
            vm: if sent.is_target {
                self.names[sent.vm].clone()
            } else {
                String::new()
            },
            is_failed,
            ratio: factor / EXPECTED[route],
        };
        Some((response, fault.is_some()))
    }

    /// whether the environment makes a request fail, and the factor of its time; none if its connection
    /// breaks
    fn disturb(&mut self, sent: &Sent) -> Option<(bool, f64)> {
        let &Sent {
            at_ms,
            vm,
            is_target,
            ..
        } = sent;
        let is_noisy = (self.noise_at_ms..self.noise_at_ms + 4000).contains(&at_ms);
        // noise of a VM concerns the first ones of each version
        let is_among = |part: usize| vm < self.shape.vms.div_ceil(part);
        let is_zone_lost = at_ms >= START_MS + ZONE_LOST_MS;
        let factor = match self.noise {
            Noise::Failing => return Some((is_noisy && self.random.random_bool(0.45), 1.0)),
            Noise::SlowVms if is_among(7) => 7.5,
            Noise::SlowNewVms if is_target && is_among(7) => 7.5,
            Noise::Crashes => {
                let since_ms = (at_ms + 977 * vm as u64) % 9000;
                if since_ms < 300 {
                    return None;
                }
                if since_ms < 2000 { 2.0 } else { 1.0 }
            }
            Noise::Zone if is_zone_lost && vm.is_multiple_of(self.shape.zones) => return None,
            Noise::Lost if self.random.random_bool(0.15) => f64::INFINITY,
            Noise::Cold if is_target => {
                let served = self.served.entry(vm).or_default();
                *served += 1;
                if *served <= COLD_RESPONSES { 2.0 } else { 1.0 }
            }
            Noise::Periods if is_among(6) && (at_ms / 600).is_multiple_of(2) => 2.5,
            Noise::SlowDaemons if sent.daemon.is_multiple_of(7) => 3.0,
            _ => 1.0,
        };
        Some((false, factor))
    }

    /// a normally distributed number
    fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        sum - 6.0
    }
}

fn record(evidence: &mut Evidence, response: &Response) {
    let sample = Sample {
        vm: &response.vm,
        is_failed: response.is_failed,
        ratio: Some(response.ratio),
    };
    let Some(elapsed_ms) = response.end_ms.checked_sub(START_MS) else {
        return;
    };
    let second = (elapsed_ms / 1000) as u32;
    evidence.record(second, response.is_target, response.route as u64, &sample);
}
