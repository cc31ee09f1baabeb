//! Admission in front of four simulated engines, with the real routing table.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::Reason;
use route::overload::{self, Controller};
use route::table::{Outcome, Permit, Table};
use schema::engine::Usage;
use schema::settings::Policy;
use support::{admitting, load, request, table, vm};
use tokio::time::{Instant, advance};

const ENGINES: usize = 4;
const SLOTS: usize = 16;
const TICK: Duration = Duration::from_millis(5);
const TARGET: Duration = Duration::from_millis(460);
const PREFILL: Duration = Duration::from_millis(25);
const STREAM: Duration = Duration::from_secs(3);

/// requests per second that fill all slots
const CAPACITY: f64 = (ENGINES * SLOTS) as f64 / 3.025;

struct Request {
    priority: u8,
    permit: Permit,
    arrived: Instant,
    end: Instant,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Request>,
    running: Vec<Request>,
}

/// requests offered, and those whose first token met the target
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    offered: u32,
    met: u32,
}

struct Simulation {
    rng: ChaCha8Rng,
    table: Table,
    controller: Controller,
    engines: Vec<Engine>,
    low: Count,
    high: Count,
}

fn name(engine: usize) -> String {
    format!("vm-{engine}")
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let vms: Vec<_> = (0..ENGINES)
            .map(|engine| vm(&name(engine), "a", "r"))
            .collect();
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: table(Policy::Affinity, &vms),
            controller: Controller::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            low: Count::default(),
            high: Count::default(),
        }
    }

    async fn run(&mut self, seconds: u32, per_second: f64, high_fraction: f64) {
        self.low = Count::default();
        self.high = Count::default();
        for tick in 0..seconds * 200 {
            if self.rng.random::<f64>() < per_second * TICK.as_secs_f64() {
                let is_high = self.rng.random::<f64>() < high_fraction;
                self.arrive(if is_high { 8 } else { 2 });
            }
            self.serve();
            if tick % 100 == 0 {
                self.report_loads();
            }
            advance(TICK).await;
        }
    }

    fn count(&mut self, priority: u8) -> &mut Count {
        if priority > 5 {
            &mut self.high
        } else {
            &mut self.low
        }
    }

    fn arrive(&mut self, priority: u8) {
        let now = Instant::now();
        self.count(priority).offered += 1;
        let arrival = overload::Request {
            service: "model",
            priority,
            wait: self.table.expected_wait("model", now).unwrap_or_default(),
            first_token: TARGET,
            deadline: Duration::from_secs(60),
        };
        if self.controller.admit(&arrival, &mut self.rng, now).is_err() {
            return;
        }
        let Ok(pick) = self.table.pick(&request(&[], &[], now), &mut self.rng, now) else {
            return;
        };
        let engine = (0..ENGINES).find(|engine| name(*engine) == pick.vm);
        self.engines[engine.unwrap_or_default()]
            .queue
            .push_back(Request {
                priority,
                permit: pick.permit,
                arrived: now,
                end: now,
            });
    }

    fn serve(&mut self) {
        let now = Instant::now();
        for engine in 0..ENGINES {
            let running = std::mem::take(&mut self.engines[engine].running);
            for request in running {
                if request.end > now {
                    self.engines[engine].running.push(request);
                } else {
                    self.table.finish(request.permit, completed(), now);
                }
            }
            while self.engines[engine].running.len() < SLOTS {
                let Some(mut request) = self.engines[engine].queue.pop_front() else {
                    break;
                };
                request.end = now + PREFILL + STREAM;
                let is_met = now + PREFILL <= request.arrived + TARGET;
                self.count(request.priority).met += u32::from(is_met);
                self.engines[engine].running.push(request);
            }
        }
    }

    fn report_loads(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let waiting = engine.queue.len() as u32;
            let load = load(
                engine.running.len() as u32,
                waiting,
                u64::from(waiting) * 100,
            );
            self.table.apply_report(&name(index), &load, Instant::now());
        }
    }
}

fn completed() -> Outcome {
    Outcome::Done {
        usage: Usage {
            prompt_tokens: 100,
            completion_tokens: 100,
            cached_tokens: 0,
            recomputed_tokens: 100,
        },
    }
}

#[tokio::test(start_paused = true)]
async fn goodput_at_twice_the_capacity_is_nine_tenths_of_that_at_capacity() {
    for seed in [1, 2, 3] {
        let mut simulation = Simulation::new(seed);
        simulation.run(20, CAPACITY, 0.0).await;
        simulation.run(60, CAPACITY, 0.0).await;
        let at_capacity = simulation.low.met;
        simulation.run(20, 2.0 * CAPACITY, 0.0).await;
        simulation.run(60, 2.0 * CAPACITY, 0.0).await;
        let at_twice = simulation.low.met;
        println!("seed {seed}: {at_capacity} met at capacity, {at_twice} at twice");
        assert!(f64::from(at_twice) >= 0.9 * f64::from(at_capacity));
        // At capacity, at least 80 % of the requests that the slots can serve meet the target.
        assert!(f64::from(at_capacity) >= 0.8 * CAPACITY * 60.0);
    }
}

#[tokio::test(start_paused = true)]
async fn overload_refuses_the_lowest_priority_first() {
    for seed in [1, 2, 3] {
        let mut simulation = Simulation::new(seed);
        simulation.run(20, 2.0 * CAPACITY, 0.3).await;
        simulation.run(60, 2.0 * CAPACITY, 0.3).await;
        let (low, high) = (simulation.low, simulation.high);
        println!("seed {seed}: low {low:?}, high {high:?}");
        assert!(f64::from(high.met) >= 0.95 * f64::from(high.offered));
        assert!(
            low.met > 0,
            "low priority got none of the remaining capacity"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn admission_recovers_after_an_overload() {
    let mut simulation = Simulation::new(1);
    simulation.run(30, 3.0 * CAPACITY, 0.0).await;
    simulation.run(15, 0.5 * CAPACITY, 0.0).await;
    simulation.run(30, 0.5 * CAPACITY, 0.0).await;
    assert!(f64::from(simulation.low.met) >= 0.98 * f64::from(simulation.low.offered));
}

#[test]
fn preset_and_deadline_refuse_at_once() {
    let controller = Controller::new();
    controller.configure(&admitting(4));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Instant::now();
    let mut request = overload::Request {
        service: "model",
        priority: 3,
        wait: Duration::ZERO,
        first_token: TARGET,
        deadline: Duration::from_secs(1),
    };
    let refused = controller.admit(&request, &mut rng, now);
    assert_eq!(
        refused.map_err(|refusal| refusal.reason),
        Err(Reason::Preset)
    );
    request.priority = 4;
    assert!(controller.admit(&request, &mut rng, now).is_ok());
    request.wait = Duration::from_secs(2);
    let refusal = controller
        .admit(&request, &mut rng, now)
        .expect_err("request beyond its deadline was admitted");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after.is_some());
}
