//! Admission in front of four engines, with the real table.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::Reason;
use route::overload::{Call, Gate};
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

struct Job {
    priority: u8,
    permit: Permit,
    arrived: Instant,
    end: Instant,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

/// requests that were offered, and those whose first token was in time
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    offered: u32,
    met: u32,
}

struct Bench {
    rng: ChaCha8Rng,
    table: Table,
    gate: Gate,
    engines: Vec<Engine>,
    low: Count,
    high: Count,
}

fn name(engine: usize) -> String {
    format!("vm-{engine}")
}

impl Bench {
    fn new(seed: u64) -> Bench {
        let vms: Vec<_> = (0..ENGINES)
            .map(|engine| vm(&name(engine), "a", "r"))
            .collect();
        Bench {
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: table(Policy::Affinity, &vms),
            gate: Gate::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            low: Count::default(),
            high: Count::default(),
        }
    }

    async fn run(&mut self, seconds: u32, per_second: f64, high_part: f64) {
        self.low = Count::default();
        self.high = Count::default();
        for tick in 0..seconds * 200 {
            if self.rng.random::<f64>() < per_second * TICK.as_secs_f64() {
                let high = self.rng.random::<f64>() < high_part;
                self.arrive(if high { 8 } else { 2 });
            }
            self.work();
            if tick % 100 == 0 {
                self.report();
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
        let call = Call {
            service: "model",
            priority,
            wait: self.table.expected_wait("model", now).unwrap_or_default(),
            first_token: TARGET,
            deadline: Duration::from_secs(60),
        };
        if self.gate.admit(&call, &mut self.rng, now).is_err() {
            return;
        }
        let Ok(pick) = self.table.pick(&request(&[], &[], now), &mut self.rng, now) else {
            return;
        };
        let engine = (0..ENGINES).find(|engine| name(*engine) == pick.vm);
        self.engines[engine.unwrap_or_default()]
            .queue
            .push_back(Job {
                priority,
                permit: pick.permit,
                arrived: now,
                end: now,
            });
    }

    fn work(&mut self) {
        let now = Instant::now();
        for engine in 0..ENGINES {
            let running = std::mem::take(&mut self.engines[engine].running);
            for job in running {
                if job.end > now {
                    self.engines[engine].running.push(job);
                } else {
                    self.table.finish(job.permit, done(), now);
                }
            }
            while self.engines[engine].running.len() < SLOTS {
                let Some(mut job) = self.engines[engine].queue.pop_front() else {
                    break;
                };
                job.end = now + PREFILL + STREAM;
                let met = now + PREFILL <= job.arrived + TARGET;
                self.count(job.priority).met += u32::from(met);
                self.engines[engine].running.push(job);
            }
        }
    }

    fn report(&self) {
        for (place, engine) in self.engines.iter().enumerate() {
            let waiting = engine.queue.len() as u32;
            let load = load(
                engine.running.len() as u32,
                waiting,
                u64::from(waiting) * 100,
            );
            self.table.apply_report(&name(place), &load, Instant::now());
        }
    }
}

fn done() -> Outcome {
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
        let mut bench = Bench::new(seed);
        bench.run(20, CAPACITY, 0.0).await;
        bench.run(60, CAPACITY, 0.0).await;
        let at_capacity = bench.low.met;
        bench.run(20, 2.0 * CAPACITY, 0.0).await;
        bench.run(60, 2.0 * CAPACITY, 0.0).await;
        let at_twice = bench.low.met;
        println!("seed {seed}: {at_capacity} met at capacity, {at_twice} at twice");
        assert!(f64::from(at_twice) >= 0.9 * f64::from(at_capacity));
        // At capacity itself most of the slots' work is in time.
        assert!(f64::from(at_capacity) >= 0.8 * CAPACITY * 60.0);
    }
}

#[tokio::test(start_paused = true)]
async fn overload_turns_away_the_lowest_priority_first() {
    for seed in [1, 2, 3] {
        let mut bench = Bench::new(seed);
        bench.run(20, 2.0 * CAPACITY, 0.3).await;
        bench.run(60, 2.0 * CAPACITY, 0.3).await;
        let (low, high) = (bench.low, bench.high);
        println!("seed {seed}: low {low:?}, high {high:?}");
        assert!(f64::from(high.met) >= 0.95 * f64::from(high.offered));
        assert!(low.met > 0, "the rest of the capacity was not used");
    }
}

#[tokio::test(start_paused = true)]
async fn admission_recovers_after_an_overload() {
    let mut bench = Bench::new(1);
    bench.run(30, 3.0 * CAPACITY, 0.0).await;
    bench.run(15, 0.5 * CAPACITY, 0.0).await;
    bench.run(30, 0.5 * CAPACITY, 0.0).await;
    assert!(f64::from(bench.low.met) >= 0.98 * f64::from(bench.low.offered));
}

#[test]
fn preset_and_deadline_refuse_at_once() {
    let gate = Gate::new();
    gate.configure(&admitting(4));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Instant::now();
    let mut call = Call {
        service: "model",
        priority: 3,
        wait: Duration::ZERO,
        first_token: TARGET,
        deadline: Duration::from_secs(1),
    };
    let refused = gate.admit(&call, &mut rng, now);
    assert_eq!(
        refused.map_err(|refusal| refusal.reason),
        Err(Reason::Preset)
    );
    call.priority = 4;
    assert!(gate.admit(&call, &mut rng, now).is_ok());
    call.wait = Duration::from_secs(2);
    let refusal = gate.admit(&call, &mut rng, now).expect_err("it was let in");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after.is_some());
}
