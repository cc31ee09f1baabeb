//! Prices a day of our plans against two simple ways to run the same load.
//!
//! The day is made from a seed: demand with a daily curve and noise, prices of
//! three zones that wander, waves that reclaim a zone and leave it closed for a
//! while, single reclaims, and hours in which on-demand VMs are refused. Every
//! policy meets the same day. Demand is served in target as long as the VMs
//! that serve have a slot for it; a VM costs from its start to its end.
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

use std::time::Instant as Clock;

use cloud::{Cloud, SLOTS, STEP};
use day::Day;
use fleet::cost::Bill;
use policy::{Kind, Policy};

/// seeds of the days
const SEEDS: [u64; 3] = [1, 2, 3];

/// tokens a request generates in a second, at 32 ms between tokens
const TOKENS_PER_SECOND: f64 = 1_000.0 / 32.0;

/// what a day came to
struct Outcome {
    bill: Bill,
    asked: f64,
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
                outcome.bill.per_thousand().unwrap_or_default(),
                100.0 * outcome.served / outcome.asked,
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
        bill: Bill::default(),
        asked: 0.0,
        served: 0.0,
        worst_step: 1.0,
        starts: 0,
        plan_us: 0,
    };
    // the first half hour is not counted: the fleet starts from nothing
    for step in 0..day::STEPS {
        let requests = day.step(step, &mut cloud);
        cloud.advance();
        let began = Clock::now();
        policy.step(&mut cloud, requests);
        outcome.plan_us += began.elapsed().as_micros();
        if step >= day::WARM_UP {
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
            .bill
            .charge(price.map_or(0, |price| price.micros_per_hour), STEP);
    }
    let slots = cloud.serving() as f64 * f64::from(SLOTS);
    let asked = f64::from(requests);
    let served = asked.min(slots);
    outcome.asked += asked;
    outcome.served += served;
    outcome.worst_step = outcome.worst_step.min(served / asked);
    outcome.bill.generate(served * TOKENS_PER_SECOND, STEP);
}
