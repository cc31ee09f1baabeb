//! Waves of reclaims, refused starts and changes of price.

use fleet::Demand;
use schema::cloud::{Market, State as Life};

use crate::cloud::{Cloud, SLOTS, START, STEP, ZONES};
use crate::planner::{Planner, capacity};

/// steps in which VMs are started and show in the list
const RECOVERY: usize = (START.as_secs() / STEP.as_secs()) as usize + 10;

/// steps of an hour
const HOUR: usize = 3_600 / STEP.as_secs() as usize;

/// VMs that a number of requests needs at 70 percent
fn needed(requests: u32) -> usize {
    let slots = (requests * 100).div_ceil(70);
    slots.div_ceil(SLOTS) as usize
}

fn in_zone(cloud: &Cloud, zone: usize, market: Market) -> usize {
    let here = cloud.vms().filter(|vm| vm.zone == ZONES[zone].0);
    here.filter(|vm| vm.market == market && vm.state != Life::Leaving)
        .count()
}

#[test]
fn the_loss_of_any_zone_leaves_enough() {
    for requests in [5, 50, 100, 300] {
        let mut cloud = Cloud::new();
        let mut planner = Planner::new(&cloud);
        planner.settle(&mut cloud, &capacity(1, 200), requests, HOUR / 4);
        let all = cloud.count(Life::Live);
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
fn waves_recover() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    let requests = 150;
    planner.settle(&mut cloud, &capacity, requests, HOUR / 4);
    let full = cloud.count(Life::Live);
    for wave in 0..6 {
        let noticed = cloud.reclaim(wave % ZONES.len());
        planner.hear(&cloud, &noticed);
        for _ in 0..RECOVERY {
            planner.step(&mut cloud, &capacity, requests);
            assert!(
                cloud.serving() >= needed(requests),
                "wave {wave}: {}",
                cloud.serving()
            );
        }
        // no more can be asked while a zone is short: the next loss is covered again
        assert!(
            cloud.count(Life::Live) + 2 >= full,
            "wave {wave}: {}",
            cloud.count(Life::Live)
        );
    }
}

#[test]
fn refused_reclaimable_starts_turn_to_on_demand_and_back() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    for zone in 0..ZONES.len() {
        cloud.refusing.push((zone, Market::Reclaimable));
    }
    planner.settle(&mut cloud, &capacity, 100, HOUR / 6);
    let dear: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert!(dear >= needed(100), "{dear}");
    assert_eq!(cloud.vms().count(), dear);

    cloud.refusing.clear();
    for _ in 0..2 * HOUR {
        planner.step(&mut cloud, &capacity, 100);
        assert!(cloud.serving() >= needed(100));
    }
    let dear: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert_eq!(dear, 0, "{:?}", cloud.vms().collect::<Vec<_>>());
}

#[test]
fn refusals_are_not_asked_again_at_once() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    for zone in 0..ZONES.len() {
        cloud.refusing.push((zone, Market::Reclaimable));
        cloud.refusing.push((zone, Market::OnDemand));
    }
    let mut asked = 0;
    for _ in 0..HOUR {
        let actions = planner.step(&mut cloud, &capacity, 100);
        asked += usize::from(!actions.is_empty());
    }
    // twenty seconds, doubled up to ten minutes, for six pools
    assert!((6..=80).contains(&asked), "{asked} of {HOUR} plans asked");
}

#[test]
fn a_change_of_price_moves_without_a_gap() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    cloud.reclaimable_micros = [200_000, 300_000, 900_000];
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    let before = in_zone(&cloud, 0, Market::Reclaimable);
    cloud.reclaimable_micros = [950_000, 300_000, 200_000];
    for _ in 0..2 * HOUR {
        planner.step(&mut cloud, &capacity, 150);
        assert!(cloud.serving() >= needed(150), "{}", cloud.serving());
    }
    let after = in_zone(&cloud, 0, Market::Reclaimable);
    assert!(after < before, "{before} before, {after} after");
}

#[test]
fn a_small_change_of_price_moves_nothing() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    let before = cloud.starts;
    for prices in [[300_000, 310_000, 320_000], [330_000, 300_000, 290_000]] {
        cloud.reclaimable_micros = prices;
        planner.settle(&mut cloud, &capacity, 150, HOUR);
    }
    assert_eq!(cloud.starts, before);
}

#[test]
fn the_share_of_on_demand_is_kept() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let mut capacity = capacity(2, 60);
    capacity.on_demand_percent = 30;
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    let dear: usize = (0..3)
        .map(|zone| in_zone(&cloud, zone, Market::OnDemand))
        .sum();
    assert!(
        dear * 100 >= 30 * cloud.vms().count(),
        "{dear} of {}",
        cloud.vms().count()
    );
}

fn live_names(cloud: &Cloud) -> Vec<String> {
    let live = cloud.vms().filter(|vm| vm.state == Life::Live);
    live.map(|vm| vm.name.clone()).collect()
}

#[test]
fn a_vm_that_answers_nobody_is_replaced_and_removed() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    let full = cloud.serving();
    let lost = live_names(&cloud)[0].clone();
    cloud.broken.insert(lost);
    planner.settle(&mut cloud, &capacity, 150, RECOVERY + 6);
    assert_eq!(cloud.serving(), full);
    planner.settle(&mut cloud, &capacity, 150, HOUR / 30);
    assert!(cloud.broken.is_empty(), "removed");
    assert_eq!(cloud.vms().count(), full);
}

#[test]
fn a_silent_zone_is_replaced_but_not_removed() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    let zone: Vec<String> = cloud
        .vms()
        .filter(|vm| vm.zone == ZONES[0].0)
        .map(|vm| vm.name.clone())
        .collect();
    cloud.broken.extend(zone.iter().cloned());
    planner.settle(&mut cloud, &capacity, 150, HOUR / 4);
    assert!(cloud.serving() >= needed(150));
    let names = live_names(&cloud);
    assert!(
        zone.iter().all(|name| names.contains(name)),
        "a partition is no failure"
    );
}

#[test]
fn each_region_gets_vms_for_its_own_demand() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    // the north is the dearest
    cloud.reclaimable_micros = [200_000, 200_000, 500_000];
    for _ in 0..HOUR / 4 {
        cloud.advance();
        let north = Demand {
            region: "north".to_owned(),
            in_flight: 100,
            queued: 0,
        };
        planner.state.observe(&[north], cloud.now);
        let actions = planner.plan(&cloud, &capacity);
        planner.act(&mut cloud, &actions);
    }
    let north = in_zone(&cloud, 2, Market::Reclaimable) + in_zone(&cloud, 2, Market::OnDemand);
    assert!(north >= needed(100), "{north}");
}
