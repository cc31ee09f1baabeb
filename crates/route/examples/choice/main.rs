//! Measures the choice of an upstream VM in a small simulation of daemons and engines.
//!
//! The daemons run the real table; the engines are simulated queues. Each engine is polled
//! by one daemon; the others receive its load level 1 s after the report. The cache events
//! of a tenth of the polls are lost.
//!
//!     cargo run --release -p route --example choice [policy]

mod cost;
mod engine;
mod simulation;
mod workload;

use schema::settings::Policy;
use workload::Workload;

const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let only = std::env::args().nth(1);
    let runs = [
        (Workload::Shared, 8, 20, 40.0),
        (Workload::Shared, 8, 75, 150.0),
        (Workload::Turns, 8, 20, 40.0),
        (Workload::Short, 8, 20, 50.0),
        (Workload::Short, 48, 75, 190.0),
    ];
    for (workload, daemons, engines, rate) in runs {
        for policy in [Policy::Affinity, Policy::Least, Policy::Turns] {
            if only
                .as_ref()
                .is_some_and(|only| *only != policy.to_string())
            {
                continue;
            }
            for seed in SEEDS {
                let setup = simulation::Setup {
                    policy,
                    workload,
                    daemons,
                    engines,
                    rate,
                    seed,
                };
                let summary = simulation::run(&setup);
                println!(
                    "{workload:?} daemons={daemons} engines={engines} policy={policy} seed={seed} {summary}"
                );
            }
        }
    }
    cost::print();
}
