//! Compares the cost of a day of this crate's plans with that of two simple policies.
//!
//! The day is generated from a seed: demand with a daily curve and noise, changing prices in
//! three zones, reclaims of whole zones that then refuse starts for a while, reclaims of
//! single VMs, and periods in which on-demand VMs are refused. Every policy gets the same
//! day. A request counts as served in target if a serving VM has a slot for it. A VM costs
//! from its start until its end.
//!
//! `cargo run --release -p fleet --example spending`

#[allow(dead_code)]
#[path = "../../tests/capacity/cloud.rs"]
mod cloud;
mod day;
#[allow(dead_code)]
#[path = "../../tests/capacity/planner.rs"]
mod planner;
mod policy;

use std::time::Instant;

use cloud::{Cloud, SLOTS, STEP};
use day::Day;
use fleet::cost::Cost;
use policy::{Kind, Policy};

/// seeds of the days
const SEEDS: [u64; 3] = [1, 2, 3];

/// tokens that a request generates per second, at 32 ms between tokens
const TOKENS_PER_SECOND: f64 = 1_000.0 / 32.0;

/// result of a day
struct Outcome {
    cost: Cost,
    requested: f64,
    served: f64,
    worst_step: f64,
    starts: usize,
    plan_us: u128,
}

fn main() {
    println!("policy          seed  micros/1k tokens  served %  worst step %  starts  us/plan");
    for kind in [Kind::Ours, Kind::OnDemand, Kind::Cheapest] {
        for seed in SEEDS {
            let outcome = run(kind, seed);
            println!(
                "{:<15} {:>4}  {:>16.2}  {:>8.3}  {:>12.1}  {:>6}  {:>7}",
                kind.name(),
                seed,
                outcome.cost.per_thousand_tokens().unwrap_or_default(),
                100.0 * outcome.served / outcome.requested,
                100.0 * outcome.worst_step,
                outcome.starts,
                outcome.plan_us,
            );
        }
    }
}

/// runs one policy through one day
fn run(kind: Kind, seed: u64) -> Outcome {
    let mut cloud = Cloud::new();
    let mut day = Day::new(seed);
    let mut policy = Policy::new(kind, &cloud);
    let mut outcome = Outcome {
        cost: Cost::default(),
        requested: 0.0,
        served: 0.0,
        worst_step: 1.0,
        starts: 0,
        plan_us: 0,
    };
    // the first half hour is not measured, as the fleet starts without VMs
    for step in 0..day::STEPS {
        let requests = day.step(step, &mut cloud);
        cloud.advance();
        let began = Instant::now();
        policy.step(&mut cloud, requests);
        outcome.plan_us += began.elapsed().as_micros();
        if step >= day::WARM_UP_STEPS {
            account(&mut outcome, &cloud, requests);
        }
    }
    outcome.starts = cloud.starts;
    outcome.plan_us /= day::STEPS as u128;
    outcome
}

fn account(outcome: &mut Outcome, cloud: &Cloud, requests: u32) {
    let prices = cloud.prices();
    for vm in cloud.vms() {
        let price = prices
            .iter()
            .find(|price| price.zone == vm.zone && price.market == vm.market);
        outcome
            .cost
            .add_vm_time(price.map_or(0, |price| price.micros_per_hour), STEP);
    }
    let slots = cloud.serving() as f64 * f64::from(SLOTS);
    let requested = f64::from(requests);
    let served = requested.min(slots);
    outcome.requested += requested;
    outcome.served += served;
    outcome.worst_step = outcome.worst_step.min(served / requested);
    outcome.cost.add_tokens(served * TOKENS_PER_SECOND, STEP);
}
