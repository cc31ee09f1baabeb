//! Plans after reclaims of whole zones, refused starts, price changes and unresponsive VMs.

use fleet::Demand;
use schema::cloud::{Market, State as VmState};

use crate::cloud::{Cloud, SLOTS, START, STEP, ZONES};
use crate::planner::{Planner, capacity};

/// steps until started VMs are live and listed
const RECOVERY_STEPS: usize = (START.as_secs() / STEP.as_secs()) as usize + 10;

/// steps in an hour
const HOUR_STEPS: usize = 3_600 / STEP.as_secs() as usize;

/// VMs needed for `requests` at a load of 70 percent
fn needed(requests: u32) -> usize {
    let slots = (requests * 100).div_ceil(70);
    slots.div_ceil(SLOTS) as usize
}

fn in_zone(cloud: &Cloud, zone: usize, market: Market) -> usize {
    let here = cloud.vms().filter(|vm| vm.zone == ZONES[zone].0);
    here.filter(|vm| vm.market == market && vm.state != VmState::Leaving)
        .count()
}

#[test]
fn the_loss_of_any_zone_leaves_enough_vms() {
    for requests in [5, 50, 100, 300] {
        let mut cloud = Cloud::new();
        let mut planner = Planner::new(&cloud);
        planner.settle(&mut cloud, &capacity(1, 200), requests, HOUR_STEPS / 4);
        let all = cloud.count(VmState::Live);
        for zone in 0..ZONES.len() {
            let lost = in_zone(&cloud, zone, Market::Reclaimable);
            assert!(
                all - lost >= needed(requests),
                "{requests} requests: {all} less {lost}"
            );
        }
    }
}

#[test]
fn capacity_recovers_after_each_of_several_reclaims() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    let requests = 150;
    planner.settle(&mut cloud, &capacity, requests, HOUR_STEPS / 4);
    let full = cloud.count(VmState::Live);
    for round in 0..6 {
        let noticed = cloud.reclaim(round % ZONES.len());
        planner.record_notices(&cloud, &noticed);
        for _ in 0..RECOVERY_STEPS {
            planner.step(&mut cloud, &capacity, requests);
            assert!(
                cloud.serving() >= needed(requests),
                "round {round}: {} live",
                cloud.serving()
            );
        }
        // the reclaimed zone may still be in backoff, but the next loss of a zone is covered
        assert!(
            cloud.count(VmState::Live) + 2 >= full,
            "round {round}: {} live",
            cloud.count(VmState::Live)
        );
    }
}

#[test]
fn on_demand_vms_replace_refused_reclaimable_ones_until_those_are_available() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    for zone in 0..ZONES.len() {
        cloud.refusing.push((zone, Market::Reclaimable));
    }
    planner.settle(&mut cloud, &capacity, 100, HOUR_STEPS / 6);
    let on_demand: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert!(on_demand >= needed(100), "{on_demand} on-demand VMs");
    assert_eq!(cloud.vms().count(), on_demand);

    cloud.refusing.clear();
    for _ in 0..2 * HOUR_STEPS {
        planner.step(&mut cloud, &capacity, 100);
        assert!(cloud.serving() >= needed(100));
    }
    let on_demand: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert_eq!(on_demand, 0, "{:?}", cloud.vms().collect::<Vec<_>>());
}

#[test]
fn refused_starts_are_retried_with_backoff() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    for zone in 0..ZONES.len() {
        cloud.refusing.push((zone, Market::Reclaimable));
        cloud.refusing.push((zone, Market::OnDemand));
    }
    let mut attempts = 0;
    for _ in 0..HOUR_STEPS {
        let actions = planner.step(&mut cloud, &capacity, 100);
        attempts += usize::from(!actions.is_empty());
    }
    // the backoff of each of the six pools grows from 20 s to 10 minutes
    assert!(
        (6..=80).contains(&attempts),
        "{attempts} of {HOUR_STEPS} plans attempted a start"
    );
}

#[test]
fn a_price_change_moves_vms_without_loss_of_capacity() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    cloud.reclaimable_micros = [200_000, 300_000, 900_000];
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    let before = in_zone(&cloud, 0, Market::Reclaimable);
    cloud.reclaimable_micros = [950_000, 300_000, 200_000];
    for _ in 0..2 * HOUR_STEPS {
        planner.step(&mut cloud, &capacity, 150);
        assert!(cloud.serving() >= needed(150), "{}", cloud.serving());
    }
    let after = in_zone(&cloud, 0, Market::Reclaimable);
    assert!(after < before, "{before} before, {after} after");
}

#[test]
fn a_small_price_change_moves_no_vm() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    let before = cloud.starts;
    for prices in [[300_000, 310_000, 320_000], [330_000, 300_000, 290_000]] {
        cloud.reclaimable_micros = prices;
        planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS);
    }
    assert_eq!(cloud.starts, before);
}

#[test]
fn the_minimum_share_of_on_demand_vms_holds() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let mut capacity = capacity(2, 60);
    capacity.on_demand_percent = 30;
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    let on_demand: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert!(
        on_demand * 100 >= 30 * cloud.vms().count(),
        "{on_demand} of {} VMs",
        cloud.vms().count()
    );
}

fn live_names(cloud: &Cloud) -> Vec<String> {
    let live = cloud.vms().filter(|vm| vm.state == VmState::Live);
    live.map(|vm| vm.name.clone()).collect()
}

#[test]
fn an_unresponsive_vm_is_replaced_and_removed() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    let full = cloud.serving();
    let unresponsive = live_names(&cloud)[0].clone();
    cloud.unresponsive.insert(unresponsive);
    planner.settle(&mut cloud, &capacity, 150, RECOVERY_STEPS + 6);
    assert_eq!(cloud.serving(), full);
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 30);
    assert!(cloud.unresponsive.is_empty(), "not removed");
    assert_eq!(cloud.vms().count(), full);
}

#[test]
fn an_unresponsive_zone_is_replaced_but_not_removed() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    let zone: Vec<String> = cloud
        .vms()
        .filter(|vm| vm.zone == ZONES[0].0)
        .map(|vm| vm.name.clone())
        .collect();
    cloud.unresponsive.extend(zone.iter().cloned());
    planner.settle(&mut cloud, &capacity, 150, HOUR_STEPS / 4);
    assert!(cloud.serving() >= needed(150));
    let names = live_names(&cloud);
    assert!(
        zone.iter().all(|name| names.contains(name)),
        "VMs were removed that may be cut off by a network partition"
    );
}

#[test]
fn each_region_gets_vms_for_its_own_demand() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    // the north has the highest price
    cloud.reclaimable_micros = [200_000, 200_000, 500_000];
    for _ in 0..HOUR_STEPS / 4 {
        cloud.advance();
        let north = Demand {
            region: "north".to_owned(),
            in_flight: 100,
            queued: 0,
        };
        planner.state.record_demand(&[north], cloud.now);
        let actions = planner.plan(&cloud, &capacity);
        planner.act(&mut cloud, &actions);
    }
    let north = in_zone(&cloud, 2, Market::Reclaimable) + in_zone(&cloud, 2, Market::OnDemand);
    assert!(north >= needed(100), "{north}");
}
