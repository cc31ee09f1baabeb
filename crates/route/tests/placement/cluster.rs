//! Simulated daemons and engines: each daemon has its own balancer, reports arrive every half
//! second, and engines prefill one prompt after the other.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::placement::{
    Balancer, Choice, Completion, Distance, Load, Measurement, Outcome, Pick, Prefill, Rate,
    Request, Sample, Timing, Work,
};
use tokio::time::Instant;

use super::{SERVICE, engine, request};

/// interval between the reports of a daemon, microseconds
const REPORT_US: u64 = 500_000;

/// parameters of a run
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub daemons: usize,
    pub vms: usize,
    /// requests per second over all daemons
    pub rate: f64,
    /// real times of the engines
    pub timing: Timing,
    /// whether what the daemons measure is applied
    pub learns: bool,
    /// slowness of a sixth of the engines, and length of its periods
    pub slow: f64,
    pub period_ms: u64,
    /// seconds after which two thirds of the VMs are lost
    pub loss_s: u64,
    pub end_s: u64,
    pub seed: u64,
}

/// what became of the requests after the loss of the VMs
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    pub requests: u32,
    pub refused: u32,
    pub late: u32,
    pub in_time: u32,
}

/// a request at an engine
struct Job {
    daemon: usize,
    vm: usize,
    work: Work,
    sample: Sample,
    sent_us: u64,
    first_us: u64,
    end_us: u64,
}

#[derive(Default)]
struct Vm {
    free_us: u64,
    cached: HashSet<u64>,
}

pub struct Cluster {
    setup: Setup,
    rng: ChaCha8Rng,
    base: Instant,
    balancers: Vec<Balancer>,
    vms: Vec<Vm>,
    jobs: HashMap<u64, Job>,
    /// time, whether the job ends, and its number
    events: BinaryHeap<Reverse<(u64, bool, u64)>>,
    pub summary: Summary,
}

impl Cluster {
    pub fn new(setup: Setup) -> Cluster {
        let mut cluster = Cluster {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            base: Instant::now(),
            balancers: vec![Balancer::new(); setup.daemons],
            vms: (0..setup.vms).map(|_| Vm::default()).collect(),
            jobs: HashMap::new(),
            events: BinaryHeap::new(),
            summary: Summary::default(),
        };
        cluster.set_members(setup.vms);
        cluster
    }

    /// runs to the end; returns the number of reports after which any daemon used learned times
    pub fn run(&mut self) -> u32 {
        let (mut next_us, mut report_us, mut number) = (0, REPORT_US, 0);
        let mut learned = 0;
        let mut is_lost = false;
        while next_us < self.setup.end_s * 1_000_000 {
            let event_us = self.events.peek().map_or(u64::MAX, |event| event.0.0);
            if report_us <= next_us.min(event_us) {
                self.report(report_us);
                let is_learned = |balancer: &Balancer| balancer.learned(SERVICE).is_some();
                learned += u32::from(self.balancers.iter().any(is_learned));
                report_us += REPORT_US;
            } else if event_us <= next_us {
                self.handle();
            } else {
                if !is_lost && next_us >= self.setup.loss_s * 1_000_000 {
                    is_lost = true;
                    self.set_members(self.setup.vms / 3);
                }
                self.arrive(number, next_us, is_lost);
                number += 1;
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.setup.rate;
                next_us += (gap * 1e6) as u64;
            }
        }
        learned
    }

    pub fn learned(&self) -> Option<Timing> {
        self.balancers[0].learned(SERVICE)
    }

    /// the time of the end
    pub fn now(&self) -> Instant {
        self.at(self.setup.end_s * 1_000_000)
    }

    /// the sum of what the daemons have measured
    pub fn measured(&mut self, now: Instant) -> [Measurement; 2] {
        let mut totals = [Measurement::default(); 2];
        for balancer in &mut self.balancers {
            for (total, measured) in totals.iter_mut().zip(balancer.measurements(now)) {
                if let Some(measured) = measured.get(SERVICE) {
                    total.add(measured);
                }
            }
        }
        totals
    }

    fn set_members(&mut self, count: usize) {
        for balancer in &mut self.balancers {
            let members = (0..count).map(|vm| engine(&format!("vm-{vm}"), Distance::Zone));
            balancer.set_members(SERVICE, members.collect());
            balancer.set_daemons(self.setup.daemons);
            balancer.set_report_interval(Duration::from_micros(REPORT_US));
        }
    }

    fn at(&self, us: u64) -> Instant {
        self.base + Duration::from_micros(us)
    }

    /// a sixth of the engines is slower, others in each period
    fn slowness(&self, vm: usize, us: u64) -> f64 {
        let period = (us / 1000 / self.setup.period_ms) as usize;
        if (vm + period).is_multiple_of(6) {
            self.setup.slow
        } else {
            1.0
        }
    }

    fn arrive(&mut self, number: u64, us: u64, is_counted: bool) {
        let daemon = self.rng.random_range(0..self.setup.daemons);
        // a few shared parts make up most of the traffic
        let shared = (self.rng.random::<f64>().powi(3) * 60.0) as u64;
        let unshared = self.rng.random_range(200..10_000);
        let shared_tokens = 2_000 + (shared as u32 % 7) * 2_000;
        let parts = [(shared, shared_tokens), (1_000_000 + number, unshared)];
        let now = self.at(us);
        let request = Request {
            time_limit: route::placement::TimeLimit::total(Duration::from_millis(500)),
            ..request(&parts, &[])
        };
        self.summary.requests += u32::from(is_counted);
        let Some(pick) = self.choose(daemon, &request, now) else {
            self.summary.refused += u32::from(is_counted);
            return;
        };
        let work = Work {
            prefill_tokens: pick.uncached,
            held: pick.uncached + 100,
        };
        self.balancers[daemon].begin(&request, &pick.id, &work, now);
        let vm: usize = pick.id[3..].parse().expect("the number of a VM");
        let slowness = self.slowness(vm, us);
        let noise_us = self.rng.random_range(0..8_000);
        let state = &mut self.vms[vm];
        let cached = if state.cached.insert(shared) {
            0
        } else {
            shared_tokens
        };
        let prefilled = f64::from(shared_tokens + unshared - cached);
        let prefill_us = prefilled / self.setup.timing.tokens_per_ms * 1000.0 * slowness;
        state.free_us = state.free_us.max(us) + prefill_us as u64;
        let base_us = self.setup.timing.base.as_micros() as u64;
        let first_us = state.free_us + base_us + noise_us;
        let end_us = first_us + self.setup.timing.slot_time.as_micros() as u64;
        let is_in_time = first_us - us <= 500_000;
        self.summary.in_time += u32::from(is_counted && is_in_time);
        self.summary.late += u32::from(is_counted && !is_in_time);
        let job = Job {
            daemon,
            vm,
            work,
            sample: Sample {
                prefill_tokens: pick.uncached,
                running: pick.running,
                wait: pick.expected.saturating_sub(pick.unloaded + pick.excess),
                expected: pick.expected,
                excess: pick.excess,
                took: Duration::from_micros(first_us - us),
            },
            sent_us: us,
            first_us,
            end_us,
        };
        self.events.push(Reverse((first_us, false, number)));
        self.jobs.insert(number, job);
    }

    /// the VM that a daemon chooses; none if the request is refused
    fn choose(&mut self, daemon: usize, request: &Request<'_>, now: Instant) -> Option<Pick> {
        let balancer = &mut self.balancers[daemon];
        let choice = balancer.choose(request, now);
        let unshared = request.parts.last().map_or(0, |(_, tokens)| *tokens);
        let (pick, uncached) = match choice {
            Choice::Send(pick) => (Some(pick.clone()), pick.uncached),
            _ => (None, unshared),
        };
        balancer.record_demand(SERVICE, uncached, now);
        pick
    }

    fn handle(&mut self) {
        let Some(Reverse((us, is_end, number))) = self.events.pop() else {
            return;
        };
        let now = self.at(us);
        let job = &self.jobs[&number];
        let slowness = self.slowness(job.vm, us);
        let balancer = &mut self.balancers[job.daemon];
        let id = format!("vm-{}", job.vm);
        balancer.record_activity(SERVICE, &id, now);
        if !is_end {
            balancer.record_sample(SERVICE, &id, &job.sample, now);
            balancer.record_first_token(SERVICE, &id, &job.work);
            let pause = Duration::from_secs_f64(0.008 * slowness);
            balancer.record_pause(SERVICE, &id, pause, now);
            self.events.push(Reverse((job.end_us, true, number)));
            debug_assert_eq!(job.first_us, us);
            return;
        }
        let pause = Duration::from_secs_f64(0.008 * slowness);
        balancer.record_pause(SERVICE, &id, pause, now);
        let took = Duration::from_micros(us - job.sent_us);
        balancer.record_stream(SERVICE, took, now);
        let completion = Completion {
            service: SERVICE,
            id: &id,
            work: &job.work,
            outcome: Outcome::Answered,
            took: None,
        };
        balancer.end(&completion, now);
        self.jobs.remove(&number);
    }

    /// every daemon gets the sum of the other daemons' reports
    fn report(&mut self, us: u64) {
        let now = self.at(us);
        let loads: Vec<HashMap<String, Load>> =
            self.balancers.iter().map(Balancer::loads).collect();
        let [total, rough] = self.measured(now);
        let rates = self.balancers.iter_mut();
        let rates: Vec<Rate> = rates.map(|one| one.rate(SERVICE, now)).collect();
        let slow: Vec<_> = self.balancers.iter().map(|one| one.slow_vms(now)).collect();
        let mut prefills: Vec<Prefill> = Vec::new();
        for balancer in &mut self.balancers {
            prefills.extend(balancer.take_prefills());
        }
        for (index, balancer) in self.balancers.iter_mut().enumerate() {
            let mut sum: HashMap<String, Load> = HashMap::new();
            let others = loads
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            for (vm, load) in others.flat_map(|(_, loads)| loads) {
                sum.entry(vm.clone()).or_default().add(load);
            }
            balancer.set_peer_loads("others", sum, now);
            let mut rate = Rate::default();
            let others = rates
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            others.for_each(|(_, other)| rate.add(other));
            balancer.set_peer_rate(SERVICE, rate, now);
            balancer.add_peer_prefills(&prefills, now);
            for (_, slow) in slow.iter().enumerate().filter(|(other, _)| *other != index) {
                balancer.set_peer_slow_vms(slow, now);
            }
            if self.setup.learns {
                balancer.apply_measurement(SERVICE, &total, &rough);
            }
        }
    }
}
