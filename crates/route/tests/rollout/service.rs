//! A service with VMs of two versions in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::rollout::{
    Bounds, Evidence, Finding, MAX_RATIO, Order, Remaining, Sample, State, Verdict, View, canaries,
    decide,
};

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

/// spread of the logarithm of times
const SPREAD: f64 = 0.3;

/// responses of a VM for which its caches are cold
const COLD_RESPONSES: u64 = 30;

/// own bad responses after which a daemon with the naive policy stops
const NAIVE_LIMIT: u32 = 3;

/// time after these bad responses within which all daemons stop
pub const ROLLBACK_MS: u64 = 5000;

/// largest number of bad responses before the time of the stop counts
const BAD_BEFORE_STOP: usize = 50;

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
    /// all VMs of a zone are reclaimed at 3 s
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

/// result of a roll-out
#[derive(Debug, Clone)]
pub struct Outcome {
    pub state: State,
    pub verdict: Verdict,
    pub requests: u64,
    pub exposed: u64,
    /// time of the last request to the new version after its 50th bad response
    pub late_ms: u64,
    pub ended_ms: u64,
    pub finding: Option<Finding>,
    /// naive policy: requests at the new version, the same time, and daemons that stopped
    pub naive_exposed: u64,
    pub naive_late_ms: u64,
    pub naive_stopped: usize,
}

impl Outcome {
    /// exposure in multiples of its bound
    pub fn exposure(&self) -> f64 {
        self.exposed as f64 / self.bound()
    }

    /// whether the naive policy breaks a bound for a bad version
    pub fn is_naive_broken(&self) -> bool {
        self.naive_exposed as f64 > self.bound() || self.naive_late_ms > ROLLBACK_MS
    }

    fn bound(&self) -> f64 {
        0.1 * self.requests as f64 + 50.0
    }
}

/// what a daemon records of a response
struct Response {
    end_ms: u64,
    is_target: bool,
    route: usize,
    vm: String,
    is_failed: bool,
    ratio: f64,
}

pub struct Service {
    shape: Shape,
    fault: Option<Fault>,
    noise: Noise,
    random: ChaCha8Rng,
    noise_at_ms: u64,
    /// responses of VMs of the new version
    served: BTreeMap<usize, u64>,
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
        Service {
            shape,
            fault,
            noise,
            noise_at_ms: START_MS + random.random_range(500..shape.duration_ms / 2),
            random,
            served: BTreeMap::new(),
        }
    }

    /// runs the roll-out to its deadline
    pub fn run(mut self, seed: u64) -> Outcome {
        let shape = self.shape;
        let order = order(shape.duration_ms, seed);
        let names: Vec<String> = (0..shape.vms)
            .map(|vm| format!("new-{seed}-{vm}"))
            .collect();
        let mut evidence = Evidence::new();
        let mut news: BTreeMap<u64, Vec<Response>> = BTreeMap::new();
        let mut ends_at_old: Vec<(u64, u64)> = Vec::new();
        let (mut share, mut full_since) = (0.0, None);
        let (mut bad_ms, mut sent_to_target) = (Vec::new(), Vec::new());
        let mut naive = Naive::new(shape.daemons);
        let mut outcome = Outcome {
            state: State::InProgress,
            verdict: Verdict::Undecided,
            requests: 0,
            exposed: 0,
            late_ms: 0,
            ended_ms: shape.duration_ms,
            finding: None,
            naive_exposed: 0,
            naive_late_ms: 0,
            naive_stopped: 0,
        };
        let mut active: Vec<usize> = Vec::new();
        for now_ms in (0..START_MS + shape.duration_ms).step_by(STEP_MS as usize) {
            let elapsed_ms = now_ms.saturating_sub(START_MS);
            let is_begun = now_ms >= START_MS;
            while let Some(entry) = news.first_entry().filter(|entry| *entry.key() <= now_ms) {
                for response in entry.remove() {
                    record(&mut evidence, &response);
                }
            }
            if is_begun && outcome.state == State::InProgress {
                let known_ms = now_ms.saturating_sub(EVIDENCE_MS);
                let is_confirmed = full_since.is_some_and(|full_ms| full_ms <= known_ms);
                let known = ends_at_old.iter();
                let running = known.filter(|(sent, end)| *sent <= known_ms && *end > known_ms);
                let view = View {
                    elapsed: Duration::from_millis(elapsed_ms),
                    evidence: &evidence,
                    old_vms: self.live(now_ms),
                    target_vms: self.live(now_ms),
                    canary_vms: self.active(&order, &names, 0.07).len(),
                    remaining: Remaining {
                        sending: if is_confirmed {
                            0
                        } else {
                            shape.daemons as u32
                        },
                        silent: 0,
                        bound: running.count() as u64,
                        repeatable: 0,
                    },
                    age: Duration::from_secs(1),
                    is_stopped: false,
                };
                let decision = decide(&order, &bounds(), &view);
                outcome.verdict = decision.verdict;
                outcome.state = decision.state;
                outcome.finding = decision.finding;
                share = decision.share;
                full_since = (share == 1.0).then(|| full_since.unwrap_or(now_ms));
                active = self.active(&order, &names, share);
                if decision.state != State::InProgress {
                    outcome.ended_ms = elapsed_ms;
                }
            }
            let naive_share = if is_begun {
                naive_share(elapsed_ms, shape.duration_ms)
            } else {
                0.0
            };
            let sent = self.random.random_range(0.5..1.5) * shape.per_s * STEP_MS as f64 / 1000.0;
            let sent = (sent + self.random.random::<f64>()) as u64;
            for _ in 0..sent {
                let sent_ms = now_ms + self.random.random_range(0..STEP_MS);
                let daemon = self.random.random_range(0..shape.daemons);
                let draw: f64 = self.random.random();
                outcome.requests += u64::from(is_begun);
                let is_target = draw < share && !active.is_empty();
                if is_target {
                    sent_to_target.push(sent_ms);
                } else if share < 1.0 {
                    let end_ms = sent_ms + self.random.random_range(50..2000);
                    ends_at_old.push((sent_ms, end_ms));
                }
                let load = share / (1.0 - share).max(0.01) * shape.vms as f64 / active.len() as f64;
                let response = self.respond(sent_ms, daemon, is_target, load, &active, &names);
                if let Some((response, is_bad, end_ms)) = response {
                    if is_bad {
                        bad_ms.push(end_ms);
                    }
                    let known_ms = (end_ms + EVIDENCE_MS).next_multiple_of(STEP_MS);
                    news.entry(known_ms).or_default().push(response);
                }
                // the naive policy's own roll-out, with the same requests
                let is_naive_target = draw < naive_share && naive.is_running(daemon, sent_ms);
                if is_naive_target {
                    let all: Vec<usize> = (0..shape.vms).collect();
                    let vms = if naive_share < 1.0 { &active } else { &all };
                    let vms = if vms.is_empty() { &all } else { vms };
                    let load = if naive_share < 1.0 { 1.1 } else { 1.0 };
                    let response = self.respond(sent_ms, daemon, true, load, vms, &names);
                    naive.record(daemon, sent_ms, response);
                }
            }
        }
        bad_ms.sort_unstable();
        if let Some(at_ms) = bad_ms.get(BAD_BEFORE_STOP - 1) {
            let last = sent_to_target.iter().max().copied().unwrap_or(0);
            outcome.late_ms = last.saturating_sub(*at_ms);
        }
        outcome.exposed = sent_to_target.len() as u64;
        naive.finish(&mut outcome);
        outcome
    }

    /// VMs of a version that are live
    fn live(&self, now_ms: u64) -> usize {
        let is_zone_lost = self.noise == Noise::Zone && now_ms >= START_MS + 3000;
        let lost = if is_zone_lost {
            self.shape.vms / self.shape.zones
        } else {
            0
        };
        self.shape.vms - lost
    }

    /// VMs of the new version that get requests; a zone is every n-th VM
    fn active(&self, order: &Order, names: &[String], share: f64) -> Vec<usize> {
        let zones = self.shape.zones;
        let mut active = Vec::new();
        for zone in 0..zones {
            let vms: Vec<&str> = names
                .iter()
                .skip(zone)
                .step_by(zones)
                .map(String::as_str)
                .collect();
            for name in canaries(order, &vms, vms.len(), share) {
                active.extend(names.iter().position(|other| other == name));
            }
        }
        active
    }

    /// what the daemon records of a request, whether it is bad because of the version, and its end
    fn respond(
        &mut self,
        sent_ms: u64,
        daemon: usize,
        is_target: bool,
        load: f64,
        active: &[usize],
        names: &[String],
    ) -> Option<(Response, bool, u64)> {
        let vms = self.shape.vms;
        let vm = if is_target {
            active[self.random.random_range(0..active.len())]
        } else {
            self.random.random_range(0..vms)
        };
        let draw: f64 = self.random.random();
        let route = ROUTES.iter().scan(0.0, |sum, (part, _)| {
            *sum += part;
            Some(*sum)
        });
        let route = route
            .take_while(|sum| *sum < draw)
            .count()
            .min(ROUTES.len() - 1);
        let mut factor = (SPREAD * self.normal()).exp();
        let mut is_failed = false;
        let is_noisy = (self.noise_at_ms..self.noise_at_ms + 4000).contains(&sent_ms);
        // noise of a VM concerns the first ones of each version
        let is_among = |part: usize| vm < vms.div_ceil(part);
        match self.noise {
            Noise::None => (),
            Noise::Failing => is_failed = is_noisy && self.random.random_bool(0.45),
            Noise::SlowVms if is_among(7) => factor *= 7.5,
            Noise::SlowNewVms if is_target && is_among(7) => factor *= 7.5,
            Noise::Crashes => {
                let since_ms = (sent_ms + 977 * vm as u64) % 9000;
                if since_ms < 300 {
                    return None;
                }
                factor *= if since_ms < 2000 { 2.0 } else { 1.0 };
            }
            Noise::Zone if sent_ms >= START_MS + 3000 && vm.is_multiple_of(self.shape.zones) => {
                return None;
            }
            Noise::Lost if self.random.random_bool(0.15) => factor = f64::INFINITY,
            Noise::Cold if is_target => {
                let served = self.served.entry(vm).or_default();
                *served += 1;
                factor *= if *served <= COLD_RESPONSES { 2.0 } else { 1.0 };
            }
            Noise::Periods if is_among(6) && (sent_ms / 600).is_multiple_of(2) => factor *= 2.5,
            Noise::SlowDaemons if daemon.is_multiple_of(7) => factor *= 3.0,
            _ => (),
        }
        let fault = self.fault.filter(|fault| {
            let is_on_route = !fault.is_on_one_route || route == FAULTY_ROUTE;
            let is_loaded = !fault.is_under_load || load >= 0.9;
            is_target && sent_ms >= START_MS + fault.from_ms && is_on_route && is_loaded
        });
        let is_bad = fault.is_some_and(|fault| self.random.random_bool(fault.part));
        if let Some(fault) = fault.filter(|_| is_bad) {
            is_failed |= fault.slowness == 0.0;
            factor *= fault.slowness.max(1.0);
        }
        // an attempt without a response is recorded at this multiple of the expected time
        let factor = factor.min(MAX_RATIO * EXPECTED[route]);
        let end_ms = sent_ms + (ROUTES[route].1 * factor) as u64;
        let response = Response {
            end_ms,
            is_target,
            route,
            vm: if is_target {
                names[vm].clone()
            } else {
                String::new()
            },
            is_failed,
            ratio: factor / EXPECTED[route],
        };
        Some((response, is_bad, end_ms))
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

/// a threshold on one daemon's own count, with the shares of a roll-out that is not stopped
struct Naive {
    /// bad responses of each daemon: times
    bad_ms: Vec<Vec<u64>>,
    sent_ms: Vec<u64>,
    ends_ms: Vec<u64>,
}

impl Naive {
    fn new(daemons: usize) -> Naive {
        Naive {
            bad_ms: vec![Vec::new(); daemons],
            sent_ms: Vec::new(),
            ends_ms: Vec::new(),
        }
    }

    fn is_running(&self, daemon: usize, now_ms: u64) -> bool {
        let known = self.bad_ms[daemon].iter().filter(|at_ms| **at_ms <= now_ms);
        known.count() < NAIVE_LIMIT as usize
    }

    /// counts errors, breaks and times of three times the expected one
    fn record(&mut self, daemon: usize, sent_ms: u64, response: Option<(Response, bool, u64)>) {
        self.sent_ms.push(sent_ms);
        let Some((response, is_bad, end_ms)) = response else {
            self.bad_ms[daemon].push(sent_ms + 100);
            return;
        };
        if response.is_failed || response.ratio >= 3.0 {
            self.bad_ms[daemon].push(end_ms);
        }
        if is_bad {
            self.ends_ms.push(end_ms);
        }
    }

    fn finish(mut self, outcome: &mut Outcome) {
        self.ends_ms.sort_unstable();
        let last = self.sent_ms.iter().max().copied().unwrap_or(0);
        let at_ms = self.ends_ms.get(BAD_BEFORE_STOP - 1);
        outcome.naive_late_ms = at_ms.map_or(0, |at_ms| last.saturating_sub(*at_ms));
        outcome.naive_exposed = self.sent_ms.len() as u64;
        let daemons = 0..self.bad_ms.len();
        outcome.naive_stopped = daemons
            .filter(|daemon| !self.is_running(*daemon, u64::MAX))
            .count();
    }
}

/// canary, then all requests for the last third
fn naive_share(now_ms: u64, duration_ms: u64) -> f64 {
    if now_ms < duration_ms * 2 / 3 {
        0.07
    } else {
        1.0
    }
}
