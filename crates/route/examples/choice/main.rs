//! Measures the choice of an upstream VM on a small model of daemons and engines.
//!
//! The daemons run the real table; the engines are queues. One daemon polls each engine,
//! the others hear a coarse level later; a tenth of the cache events are lost.
//!
//!     cargo run --release -p route --example choice [policy]

mod cost;
mod engine;
mod model;
mod workload;

use schema::settings::Policy;
use workload::Kind;

const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let only = std::env::args().nth(1);
    let runs = [
        (Kind::Shared, 8, 20, 40.0),
        (Kind::Shared, 8, 75, 150.0),
        (Kind::Turns, 8, 20, 40.0),
        (Kind::Short, 8, 20, 50.0),
        (Kind::Short, 48, 75, 190.0),
    ];
    for (kind, daemons, engines, rate) in runs {
        for policy in [Policy::Affinity, Policy::Least, Policy::Turns] {
            if only
                .as_ref()
                .is_some_and(|only| *only != policy.to_string())
            {
                continue;
            }
            for seed in SEEDS {
                let setup = model::Setup {
                    policy,
                    kind,
                    daemons,
                    engines,
                    rate,
                    seed,
                };
                let figures = model::run(&setup);
                println!(
                    "{kind:?} daemons={daemons} engines={engines} policy={policy} seed={seed} {figures}"
                );
            }
        }
    }
    cost::print();
}
