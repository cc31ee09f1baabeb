//! Compares the planned mix with all possible ones, for small fleets.

use fleet::{Action, Demand};
use proptest::prelude::*;
use schema::cloud::Market;

use crate::cloud::{Cloud, SLOTS, ZONES};
use crate::planner::{Planner, capacity};

/// price of an on-demand VM, millionths of the currency an hour
const ON_DEMAND_MICROS: u64 = 1_000_000;

/// VMs of a mix: the reclaimable ones of each of three zones, and all on-demand ones
type Counts = [u64; 4];

/// whether a mix serves `vms` after the loss of its largest zone
fn is_enough(counts: Counts, vms: u64) -> bool {
    let [a, b, c, on_demand] = counts;
    let largest = a.max(b).max(c);
    a + b + c + on_demand - largest >= vms
}

fn cost(counts: Counts, prices: [u64; 3]) -> u64 {
    let reclaimable: u64 = (0..3).map(|zone| counts[zone] * prices[zone]).sum();
    reclaimable + counts[3] * ON_DEMAND_MICROS
}

/// the least cost of any sufficient mix
fn least_cost(vms: u64, prices: [u64; 3]) -> u64 {
    let mut least_cost = u64::MAX;
    for a in 0..=vms {
        for b in 0..=vms {
            for c in 0..=vms {
                for on_demand in 0..=vms {
                    let counts = [a, b, c, on_demand];
                    if is_enough(counts, vms) {
                        least_cost = least_cost.min(cost(counts, prices));
                    }
                }
            }
        }
    }
    least_cost
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn no_mix_is_cheaper(
        vms in 1..9u32,
        prices in prop::array::uniform3(50_000..1_200_000u64),
    ) {
        let mut capacity = capacity(0, 60);
        capacity.spare = 0;
        capacity.load_percent = 100;
        let mut cloud = Cloud::new();
        cloud.reclaimable_micros = prices;
        cloud.advance();
        let mut planner = Planner::new(&cloud);
        // no zone is in the callers' region, so all zones are equivalent
        let demand = Demand { region: "far".to_owned(), in_flight: vms * SLOTS, queued: 0 };
        planner.state.record_demand(&[demand], cloud.now);
        let mut counts = [0; 4];
        for action in planner.plan(&cloud, &capacity) {
            let Action::Start(start) = action else {
                panic!("no VM exists that could be drained or removed");
            };
            let zone = ZONES.iter().position(|(zone, _)| *zone == start.pool.zone).expect("a zone");
            match start.pool.market {
                Market::Reclaimable => counts[zone] += 1,
                Market::OnDemand => counts[3] += 1,
            }
        }
        prop_assert!(is_enough(counts, vms.into()), "{counts:?}");
        let least_cost = least_cost(vms.into(), prices);
        // the plan compares prices of slots, which are rounded to whole millionths
        prop_assert!(
            cost(counts, prices) <= least_cost + least_cost / 1_000,
            "{counts:?}, {least_cost}"
        );
    }
}
