//! Discrete-event simulation of request arrivals, daemons, engines and delayed reports.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::table::{Location, Outcome, Request, Table, Vm};
use schema::config::{Declaration, Fencing, Kind};
use schema::engine::{Events, Load};
use schema::settings::Policy;
use tokio::time::Instant;

use crate::engine::{Engine, Job, SLOTS, STEP_US};
use crate::workload::{Source, Workload};

const SECOND_US: u64 = 1_000_000;
const WARM_UP_US: u64 = 20 * SECOND_US;
const END_US: u64 = 80 * SECOND_US;
const POLL_US: u64 = SECOND_US / 2;
const REPORT_LAG_US: u64 = 20_000;
const LEVEL_LAG_US: u64 = SECOND_US;
const SAMPLE_US: u64 = SECOND_US / 10;
const GAP_PROBABILITY: f64 = 0.1;
const FIRST_TOKEN: Duration = Duration::from_millis(460);

/// parameters of one run
pub struct Setup {
    pub policy: Policy,
    pub workload: Workload,
    pub daemons: usize,
    pub engines: usize,
    /// requests per second over all daemons
    pub rate: f64,
    pub seed: u64,
}

/// measurements of one run
#[derive(Default)]
pub struct Summary {
    recomputed: u64,
    generated: u64,
    refused: u64,
    first_us: Vec<u64>,
    peak_to_mean: Vec<f64>,
}

enum Event {
    Arrive,
    Deliver(usize, Box<Job>),
    Prefilled(usize),
    End(usize, Box<Job>),
    Poll(usize),
    Report(usize, Load, Events, u64),
    Level(usize, u8, u64),
    Sample,
}

struct Simulation<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    base: Instant,
    now_us: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    tables: Vec<Table>,
    names: Vec<String>,
    engines: Vec<Engine>,
    source: Source,
    summary: Summary,
}

/// runs the simulation to its end
pub fn run(setup: &Setup) -> Summary {
    let mut simulation = Simulation::new(setup);
    while let Some(Reverse((at_us, sequence))) = simulation.queue.pop() {
        if at_us > END_US {
            break;
        }
        simulation.now_us = at_us;
        if let Some(event) = simulation.events.remove(&sequence) {
            simulation.handle(event);
        }
    }
    simulation.summary
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup) -> Simulation<'a> {
        let names: Vec<String> = (0..setup.engines)
            .map(|index| format!("vm-{index}"))
            .collect();
        let mut simulation = Simulation {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            base: Instant::now(),
            now_us: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            tables: (0..setup.daemons).map(|_| table(setup, &names)).collect(),
            engines: names.iter().map(|_| Engine::default()).collect(),
            names,
            source: Source::new(setup.workload),
            summary: Summary::default(),
        };
        simulation.schedule(0, Event::Arrive);
        simulation.schedule(0, Event::Sample);
        for engine in 0..setup.engines {
            let start = simulation.rng.random_range(0..POLL_US);
            simulation.schedule(start, Event::Poll(engine));
        }
        simulation
    }

    fn schedule(&mut self, wait_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now_us + wait_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.base + Duration::from_micros(at_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver(engine, job) => {
                self.engines[engine].queue.push_back(*job);
                self.start_prefill(engine);
            }
            Event::Prefilled(engine) => self.finish_prefill(engine),
            Event::End(engine, job) => self.end(engine, *job),
            Event::Poll(engine) => self.poll(engine),
            Event::Report(engine, load, events, at_us) => {
                self.receive_report(engine, &load, &events, at_us)
            }
            Event::Level(engine, level, at_us) => self.receive_level(engine, level, at_us),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.setup.rate;
        self.schedule((gap * 1e6) as u64, Event::Arrive);
        let request = self.source.next(&mut self.rng);
        let daemon = self.rng.random_range(0..self.setup.daemons);
        let now = self.instant(self.now_us);
        let route_request = Request {
            service: "model",
            blocks: &request.blocks,
            prompt_tokens: request.prompt_tokens,
            prior_tokens: 0,
            max_tokens: 240,
            priority: 5,
            avoid: &[],
            deadline: now + Duration::from_secs(60),
            first_token: FIRST_TOKEN,
        };
        let Ok(pick) = self.tables[daemon].pick(&route_request, &mut self.rng, now) else {
            self.summary.refused += 1;
            return;
        };
        let engine = self
            .names
            .iter()
            .position(|name| *name == pick.vm)
            .unwrap_or(0);
        let job = Job {
            daemon,
            permit: pick.permit,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            blocks: request.blocks,
            arrived_us: self.now_us,
            cached_tokens: 0,
        };
        self.schedule(1_000, Event::Deliver(engine, Box::new(job)));
    }

    fn start_prefill(&mut self, engine: usize) {
        if let Some(time_us) = self.engines[engine].start_prefill() {
            self.schedule(time_us, Event::Prefilled(engine));
        }
    }

    fn finish_prefill(&mut self, engine: usize) {
        let Some(job) = self.engines[engine].finish_prefill() else {
            return;
        };
        if job.arrived_us >= WARM_UP_US {
            self.summary.first_us.push(self.now_us - job.arrived_us);
            self.summary.recomputed += u64::from(job.prompt_tokens - job.cached_tokens);
            self.summary.generated += u64::from(job.output_tokens);
        }
        let time_us = u64::from(job.output_tokens) * STEP_US;
        self.schedule(time_us, Event::End(engine, Box::new(job)));
        self.start_prefill(engine);
    }

    fn end(&mut self, engine: usize, job: Job) {
        self.engines[engine].running -= 1;
        let usage = job.usage();
        let now = self.instant(self.now_us);
        self.tables[job.daemon].finish(job.permit, Outcome::Done { usage }, now);
        self.start_prefill(engine);
    }

    fn poll(&mut self, engine: usize) {
        let lost = self.rng.random::<f64>() < GAP_PROBABILITY;
        let load = self.engines[engine].load();
        let events = self.engines[engine].take_events(lost);
        let report = Event::Report(engine, load, events, self.now_us);
        self.schedule(REPORT_LAG_US, report);
        let jitter = self.rng.random_range(0..POLL_US / 5);
        self.schedule(POLL_US - POLL_US / 10 + jitter, Event::Poll(engine));
    }

    fn receive_report(&mut self, engine: usize, load: &Load, events: &Events, at_us: u64) {
        let poller = &self.tables[engine % self.setup.daemons];
        let at = self.instant(at_us);
        poller.apply_report(&self.names[engine], load, at);
        poller.apply_cache_events(&self.names[engine], events);
        let level = poller.load_level(&self.names[engine]).unwrap_or(0);
        self.schedule(LEVEL_LAG_US, Event::Level(engine, level, at_us));
    }

    fn receive_level(&mut self, engine: usize, level: u8, at_us: u64) {
        let at = self.instant(at_us);
        for (daemon, table) in self.tables.iter().enumerate() {
            if daemon != engine % self.setup.daemons {
                table.apply_level(&self.names[engine], level, at);
            }
        }
    }

    fn sample(&mut self) {
        self.schedule(SAMPLE_US, Event::Sample);
        if self.now_us < WARM_UP_US {
            return;
        }
        let loads = self
            .engines
            .iter()
            .map(|engine| f64::from(engine.streams()));
        let max = loads.clone().fold(0.0, f64::max);
        let mean = loads.sum::<f64>() / self.engines.len() as f64;
        self.summary.peak_to_mean.push(max / mean.max(1.0));
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = self.first_us.clone();
        first.sort_unstable();
        let percentile =
            |fraction: f64| first[((first.len() - 1) as f64 * fraction) as usize] as f64 / 1000.0;
        let target = FIRST_TOKEN.as_micros() as u64;
        let met = first.iter().filter(|time| **time <= target).count();
        let peak = self.peak_to_mean.iter().sum::<f64>() / self.peak_to_mean.len() as f64;
        write!(
            f,
            "recomputed_per_generated={:.3} p50_ms={:.0} p95_ms={:.0} met={:.3} peak_to_mean={:.2} refused={} requests={}",
            self.recomputed as f64 / self.generated as f64,
            percentile(0.5),
            percentile(0.95),
            met as f64 / first.len() as f64,
            peak,
            self.refused,
            first.len(),
        )
    }
}

/// the table of one daemon, with all engines
fn table(setup: &Setup, names: &[String]) -> Table {
    let location = Location {
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
    };
    let table = Table::new(location, setup.policy);
    table.configure(&declaration());
    table.set_daemons(setup.daemons as u32);
    table.set_vms(&vms(names));
    table
}

/// VMs of one data centre
pub fn vms(names: &[String]) -> Vec<Vm> {
    let vm = |name: &String| Vm {
        name: name.clone(),
        address: name.clone(),
        upstream: "engines".to_owned(),
        service: "model".to_owned(),
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
        slots: SLOTS,
        fencing: Fencing::Ignored,
    };
    names.iter().map(vm).collect()
}

/// a declaration with one service
pub fn declaration() -> Declaration {
    let service = schema::config::Service {
        name: "model".to_owned(),
        kind: Kind::Model,
        first_token_ms: 460,
        between_tokens_ms: 32,
        deadline_ms: 120_000,
        repeatable: Vec::new(),
    };
    Declaration {
        services: vec![service],
        upstreams: Vec::new(),
        workspaces: Vec::new(),
        presets: Vec::new(),
        preset: "ordinary".to_owned(),
    }
}
