//! The mix against the best one of all, for fleets small enough to try every mix.

use fleet::{Action, Demand};
use proptest::prelude::*;
use schema::cloud::Market;

use crate::cloud::{Cloud, SLOTS, ZONES};
use crate::planner::{Planner, capacity};

/// price of an on-demand VM, millionths an hour
const ON_DEMAND: u64 = 1_000_000;

/// VMs of a mix by zone, reclaimable ones and the on-demand ones of all zones
type Counts = [u64; 4];

/// whether a mix serves `vms` after the loss of its largest zone
fn is_enough(counts: Counts, vms: u64) -> bool {
    let [a, b, c, dear] = counts;
    let largest = a.max(b).max(c);
    a + b + c + dear - largest >= vms
}

fn cost(counts: Counts, prices: [u64; 3]) -> u64 {
    let cheap: u64 = (0..3).map(|zone| counts[zone] * prices[zone]).sum();
    cheap + counts[3] * ON_DEMAND
}

/// the least cost of any mix that is enough
fn least(vms: u64, prices: [u64; 3]) -> u64 {
    let mut least = u64::MAX;
    for a in 0..=vms {
        for b in 0..=vms {
            for c in 0..=vms {
                for dear in 0..=vms {
                    let counts = [a, b, c, dear];
                    if is_enough(counts, vms) {
                        least = least.min(cost(counts, prices));
                    }
                }
            }
        }
    }
    least
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
        // callers of no region: any zone serves them as well
        let demand = Demand { region: "far".to_owned(), in_flight: vms * SLOTS, queued: 0 };
        planner.state.observe(&[demand], cloud.now);
        let mut counts = [0; 4];
        for action in planner.plan(&cloud, &capacity) {
            let Action::Start(start) = action else {
                panic!("nothing runs that could be drained");
            };
            let zone = ZONES.iter().position(|(zone, _)| *zone == start.place.zone).expect("a zone");
            match start.place.market {
                Market::Reclaimable => counts[zone] += 1,
                Market::OnDemand => counts[3] += 1,
            }
        }
        prop_assert!(is_enough(counts, vms.into()), "{counts:?}");
        let least = least(vms.into(), prices);
        // prices count by slot, in whole millionths
        prop_assert!(cost(counts, prices) <= least + least / 1_000, "{counts:?}, {least}");
    }
}
