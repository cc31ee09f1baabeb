//! Measures the processor time of one plan for fleets of growing size, in the steady state
//! and right after the loss of a zone.
//!
//! `cargo run --release -p fleet --example size`

use std::time::{Duration, Instant as StdInstant};

use fleet::{Demand, Load, Pool, State, StoreStatus, View, plan};
use schema::cloud::{Market, State as VmState, Vm};
use schema::config::Capacity;
use tokio::time::Instant;

/// number of zones, one in each data centre
const ZONES: usize = 8;

/// slots of a VM
const SLOTS: u32 = 16;

/// number of plans to measure
const PLANS: u32 = 50;

fn main() {
    println!("  VMs  settled us/plan  zone lost us/plan  starts");
    for count in [8, 75, 150, 300, 600] {
        let settled = vms(count, false);
        let lost = vms(count, true);
        let (settled_us, _) = time(&settled, count);
        let (lost_us, starts) = time(&lost, count);
        println!("{count:>5}  {settled_us:>15}  {lost_us:>17}  {starts:>6}");
    }
}

/// VMs spread over the zones; those of the first zone have their preemption notice if it is lost
fn vms(count: usize, is_lost: bool) -> Vec<Vm> {
    let mut vms = Vec::new();
    for slot in 0..count {
        let zone = slot % ZONES;
        let is_reclaiming = is_lost && zone == 0;
        vms.push(Vm {
            name: fleet::slot_name("models", slot as u32),
            upstream: format!("models-{zone}"),
            zone: format!("zone-{zone}"),
            class: "gpu".to_owned(),
            market: Market::Reclaimable,
            state: if is_reclaiming {
                VmState::Leaving
            } else {
                VmState::Live
            },
            address: String::new(),
            seconds_left: None,
        });
    }
    vms
}

fn pools() -> Vec<Pool> {
    let mut pools = Vec::new();
    for zone in 0..ZONES {
        for market in [Market::Reclaimable, Market::OnDemand] {
            let base_micros = match market {
                Market::Reclaimable => 300_000,
                Market::OnDemand => 1_000_000,
            };
            pools.push(Pool {
                upstream: format!("models-{zone}"),
                region: format!("region-{}", zone / 4),
                zone: format!("zone-{zone}"),
                class: "gpu".to_owned(),
                market,
                slots: SLOTS,
                micros_per_hour: base_micros + 10_000 * zone as u64,
            });
        }
    }
    pools
}

/// mean time of a plan in microseconds, and its number of actions
fn time(vms: &[Vm], count: usize) -> (u128, usize) {
    let mut now = Instant::now();
    let mut state = State::new(1, now);
    let loads: Vec<Load> = vms
        .iter()
        .map(|vm| Load {
            vm: vm.name.clone(),
            in_flight: 9,
            draining: false,
            unresponsive: false,
        })
        .collect();
    let capacity = Capacity {
        service: "models".to_owned(),
        floor: 1,
        ceiling: 2 * count as u32,
        spare: 1,
        load_percent: 70,
        on_demand_percent: 0,
        hold: false,
    };
    let pools = pools();
    let view = View {
        service: "models",
        vms,
        pools: &pools,
        loads: &loads,
        store: StoreStatus::Reachable,
    };
    let requests = (count as u32 * SLOTS) * 6 / 10;
    let mut elapsed = Duration::ZERO;
    let mut actions = 0;
    for _ in 0..PLANS {
        now += Duration::from_secs(5);
        let demand = |region: &str| Demand {
            region: region.to_owned(),
            in_flight: requests / 2,
            queued: 0,
        };
        state.record_demand(&[demand("region-0"), demand("region-1")], now);
        let began = StdInstant::now();
        state.update(&view, now);
        actions = plan(&view, &capacity, &state, now).len();
        elapsed += began.elapsed();
    }
    (elapsed.as_micros() / u128::from(PLANS), actions)
}
