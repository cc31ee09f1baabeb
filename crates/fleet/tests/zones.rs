//! Replays of the cases that `fleet::zones` handles.

use std::time::Duration;

use fleet::zones::{
    Constraints, Demand, Need, OrderHistory, Peak, PoolOrder, Timing, VmCounts, Zone, orders,
};
use proptest::prelude::*;
use tokio::time::Instant;

const CONSTRAINTS: Constraints = Constraints {
    min: 1,
    max: 6,
    boot_time: Duration::from_secs(4),
    reclaimable: true,
};

fn need(vms: u32) -> Need {
    Need {
        target: vms,
        minimum: vms,
        after_zone_loss: 0,
    }
}

fn zones(vm_counts: &[(u32, u32)]) -> Vec<Zone> {
    let prices = [1.0, 0.8, 1.25];
    let zone = |(index, (reclaimable, on_demand)): (usize, &(u32, u32))| Zone {
        name: format!("zone-{index}"),
        price: prices[index % prices.len()],
        live: VmCounts {
            reclaimable: *reclaimable,
            on_demand: *on_demand,
        },
    };
    vm_counts.iter().enumerate().map(zone).collect()
}

/// simulated cloud that starts ordered VMs after the boot time and may reclaim those of a zone
struct Cloud {
    vm_counts: Vec<(u32, u32)>,
    starting: Vec<(Instant, usize, bool, u32)>,
    refuses_reclaimable: bool,
    history: OrderHistory,
    now: Instant,
    orders: usize,
}

impl Cloud {
    fn new(vm_counts: &[(u32, u32)]) -> Cloud {
        Cloud {
            vm_counts: vm_counts.to_vec(),
            starting: Vec::new(),
            refuses_reclaimable: false,
            history: OrderHistory::new(),
            now: Instant::now(),
            orders: 0,
        }
    }

    fn live(&self) -> u32 {
        self.vm_counts.iter().map(|(one, other)| one + other).sum()
    }

    fn execute(&mut self, order: &PoolOrder) {
        self.orders += 1;
        let index: usize = order.zone[5..].parse().expect("zone name ends in a number");
        let live = if order.reclaimable {
            self.vm_counts[index].0
        } else {
            self.vm_counts[index].1
        };
        if self.refuses_reclaimable && order.reclaimable && order.count > live {
            self.history.record_refused(&order.zone, true, self.now);
            return;
        }
        self.history
            .record_accepted(&order.zone, order.reclaimable, order.count, self.now);
        self.starting.retain(|(_, zone, reclaimable, _)| {
            (*zone, *reclaimable) != (index, order.reclaimable)
        });
        if order.count > live {
            let ready = self.now + CONSTRAINTS.boot_time;
            self.starting
                .push((ready, index, order.reclaimable, order.count));
        } else if order.reclaimable {
            self.vm_counts[index].0 = order.count;
        } else {
            self.vm_counts[index].1 = order.count;
        }
    }

    /// plans every half second for `time` and returns the lowest number of live VMs
    fn run(&mut self, time: Duration, needed: u32) -> u32 {
        self.run_need(time, need(needed))
    }

    fn run_need(&mut self, time: Duration, need: Need) -> u32 {
        let end = self.now + time;
        let mut min_live = self.live();
        while self.now < end {
            let zones = zones(&self.vm_counts);
            for order in orders(&zones, &CONSTRAINTS, need, &self.history, self.now) {
                self.execute(&order);
            }
            self.now += Duration::from_millis(500);
            let now = self.now;
            let (ready, rest) = self.starting.drain(..).partition(|(at, ..)| *at <= now);
            self.starting = rest;
            let ready: Vec<(Instant, usize, bool, u32)> = ready;
            for (_, zone, reclaimable, count) in ready {
                if reclaimable {
                    self.vm_counts[zone].0 = count;
                } else {
                    self.vm_counts[zone].1 = count;
                }
            }
            min_live = min_live.min(self.live());
        }
        min_live
    }

    fn reclaim(&mut self, zone: usize) {
        self.vm_counts[zone].0 = 0;
        self.starting
            .retain(|(_, index, reclaimable, _)| !(*index == zone && *reclaimable));
    }
}

#[test]
fn reclaimable_vms_replace_on_demand_ones_without_loss_of_capacity() {
    let mut cloud = Cloud::new(&[(0, 3), (0, 3), (0, 3)]);
    let min_live = cloud.run(Duration::from_secs(20), 8);
    assert!(min_live >= 8, "only {min_live} VMs were live");
    assert_eq!(cloud.vm_counts, [(4, 0), (4, 0), (4, 0)]);
}

#[test]
fn the_loss_of_a_zone_leaves_enough_vms() {
    let mut cloud = Cloud::new(&[(4, 0), (4, 0), (4, 0)]);
    cloud.run(Duration::from_secs(10), 8);
    cloud.reclaim(1);
    cloud.refuses_reclaimable = true;
    let min_live = cloud.run(Duration::from_secs(14), 8);
    assert!(min_live >= 8, "only {min_live} VMs were live");
}

#[test]
fn the_loss_of_a_second_zone_leaves_enough_vms_while_the_first_is_short() {
    let need = Need {
        target: 8,
        minimum: 7,
        after_zone_loss: 6,
    };
    let mut cloud = Cloud::new(&[(4, 0), (4, 0), (4, 0)]);
    cloud.run_need(Duration::from_secs(10), need);
    cloud.reclaim(0);
    cloud.refuses_reclaimable = true;
    cloud.run_need(Duration::from_secs(6), need);
    assert_eq!(cloud.live(), 10);
    cloud.reclaim(1);
    let min_live = cloud.run_need(Duration::from_secs(8), need);
    assert!(min_live >= 6, "only {min_live} VMs were live");
    cloud.refuses_reclaimable = false;
    cloud.run_need(Duration::from_secs(15), need);
    assert_eq!(cloud.vm_counts, [(4, 0), (4, 0), (4, 0)]);
}

#[test]
fn on_demand_vms_replace_reclaimable_ones_while_those_are_unavailable() {
    let mut cloud = Cloud::new(&[(4, 0), (4, 0), (4, 0)]);
    cloud.run(Duration::from_secs(10), 8);
    cloud.reclaim(0);
    cloud.reclaim(1);
    cloud.refuses_reclaimable = true;
    cloud.run(Duration::from_secs(8), 8);
    assert!(cloud.live() >= 8, "only {} VMs were live", cloud.live());
    cloud.refuses_reclaimable = false;
    cloud.run(Duration::from_secs(15), 8);
    assert_eq!(cloud.vm_counts, [(4, 0), (4, 0), (4, 0)]);
}

/// guards against on-demand VMs that are given up just before they are ready
#[test]
fn on_demand_vms_that_start_are_kept_until_reclaimable_ones_are_live() {
    let mut cloud = Cloud::new(&[(3, 0), (3, 0), (3, 0)]);
    cloud.run(Duration::from_secs(1), 6);
    cloud.reclaim(0);
    cloud.reclaim(1);
    cloud.refuses_reclaimable = true;
    cloud.run(Duration::from_millis(3500), 6);
    cloud.refuses_reclaimable = false;
    cloud.run(Duration::from_millis(1500), 6);
    assert!(cloud.live() >= 6, "{:?}", cloud.vm_counts);
}

#[test]
fn on_demand_vms_are_ordered_only_up_to_the_minimum() {
    let need = Need {
        target: 8,
        minimum: 3,
        after_zone_loss: 0,
    };
    let zones = zones(&[(0, 0), (2, 0), (0, 0)]);
    let mut history = OrderHistory::new();
    let now = Instant::now();
    history.record_refused("zone-0", true, now);
    history.record_refused("zone-1", true, now);
    history.record_refused("zone-2", true, now);
    let orders = orders(&zones, &CONSTRAINTS, need, &history, now);
    let on_demand: u32 = orders
        .iter()
        .filter(|order| !order.reclaimable)
        .map(|order| order.count)
        .sum();
    assert_eq!(on_demand, 1);
}

#[test]
fn a_steady_state_needs_no_orders() {
    let mut cloud = Cloud::new(&[(4, 0), (4, 0), (4, 0)]);
    cloud.run(Duration::from_secs(60), 8);
    assert_eq!(cloud.orders, 0);
}

#[test]
fn refused_orders_are_repeated_with_backoff() {
    let mut cloud = Cloud::new(&[(0, 3), (0, 3), (0, 3)]);
    cloud.refuses_reclaimable = true;
    cloud.run(Duration::from_secs(20), 8);
    // one order for each zone every two seconds, and one for its on-demand VMs
    assert!(
        cloud.orders <= 3 * 10 + 3,
        "{} orders in 20 s",
        cloud.orders
    );
    assert_eq!(
        cloud.live(),
        9 - 1,
        "an on-demand VM that is not needed was kept"
    );
}

#[test]
fn a_peak_is_kept_for_its_retention_time() {
    let mut peak = Peak::new();
    let now = Instant::now();
    assert_eq!(peak.record(8.0, now), 8.0);
    assert_eq!(peak.record(3.0, now + Duration::from_secs(19)), 8.0);
    assert_eq!(peak.record(3.0, now + Duration::from_secs(21)), 3.0);
}

#[test]
fn demand_is_converted_to_vms_by_engine_capacity() {
    let demand = Demand {
        prefill_tokens: 50_000.0,
        streams: 16.0,
    };
    assert!((demand.vms(&Timing::default(), 0.5) - 4.0).abs() < 1e-9);
}

/// engines that prefill faster than assumed were ordered in three times the number needed
#[test]
fn engines_that_are_faster_than_assumed_are_ordered_in_smaller_numbers() {
    let demand = Demand {
        prefill_tokens: 1_570_000.0,
        streams: 160.0,
    };
    let learned = Timing {
        prefill_tokens_per_s: 157_000.0,
        stream_s: 0.8,
    };
    assert!((demand.vms(&Timing::default(), 0.5) - 82.8).abs() < 1e-9);
    assert!((demand.vms(&learned, 0.5) - 36.0).abs() < 1e-9);
}

proptest! {
    /// no order exceeds the maximum of a zone, and an order for reclaimable VMs reaches its minimum
    #[test]
    fn orders_stay_within_the_bounds(
        vm_counts in prop::collection::vec((0u32..7, 0u32..7), 1..6),
        needed in 0u32..60,
    ) {
        let zones = zones(&vm_counts);
        for order in
            orders(&zones, &CONSTRAINTS, need(needed), &OrderHistory::new(), Instant::now())
        {
            prop_assert!(order.count <= CONSTRAINTS.max, "{:?}", order);
            if order.reclaimable {
                prop_assert!(order.count >= CONSTRAINTS.min);
            }
        }
    }
}
