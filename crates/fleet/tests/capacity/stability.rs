//! Noise, holds and outages cause no needless starts and removals.

use fleet::{Action, StoreStatus};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::cloud::State as VmState;

use crate::cloud::{Cloud, STEP};
use crate::planner::{Planner, capacity};

/// steps in an hour
const HOUR_STEPS: usize = 3_600 / STEP.as_secs() as usize;

#[test]
fn noisy_demand_causes_no_flapping() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cloud = Cloud::new();
        let mut planner = Planner::new(&cloud);
        let capacity = capacity(2, 60);
        let mut noisy = || random.random_range(70..130);
        for _ in 0..HOUR_STEPS / 2 {
            planner.step(&mut cloud, &capacity, noisy());
        }
        let before = cloud.starts + cloud.removals;
        for _ in 0..4 * HOUR_STEPS {
            planner.step(&mut cloud, &capacity, noisy());
        }
        let changes = cloud.starts + cloud.removals - before;
        assert!(changes <= 2, "seed {seed}: {changes} changes in four hours");
    }
}

#[test]
fn capacity_shrinks_after_the_peak_has_left_the_window() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 200, HOUR_STEPS / 2);
    let high = cloud.count(VmState::Live);
    planner.settle(&mut cloud, &capacity, 20, 240 / STEP.as_secs() as usize);
    assert_eq!(
        cloud.count(VmState::Live),
        high,
        "drained four minutes after the peak, within the window"
    );
    planner.settle(&mut cloud, &capacity, 20, HOUR_STEPS / 2);
    assert!(
        cloud.count(VmState::Live) < high / 3,
        "{} of {high}",
        cloud.count(VmState::Live)
    );
}

#[test]
fn a_new_lease_holder_removes_nothing_at_first() {
    let mut cloud = Cloud::new();
    let capacity = capacity(2, 60);
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity, 200, HOUR_STEPS / 2);
    let high = cloud.count(VmState::Live);
    // no demand is reported to it yet
    let mut successor = Planner::new(&cloud);
    for _ in 0..HOUR_STEPS / 20 {
        successor.step(&mut cloud, &capacity, 0);
        assert_eq!(cloud.count(VmState::Live), high);
    }
}

#[test]
fn nothing_is_removed_without_demand_reports() {
    let mut cloud = Cloud::new();
    let capacity = capacity(2, 60);
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity, 200, HOUR_STEPS / 2);
    let high = cloud.count(VmState::Live);
    for _ in 0..HOUR_STEPS {
        cloud.advance();
        let actions = planner.plan(&cloud, &capacity);
        planner.act(&mut cloud, &actions);
    }
    assert_eq!(cloud.count(VmState::Live), high);
}

#[test]
fn nothing_is_planned_on_hold() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let mut capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 100, HOUR_STEPS / 4);
    capacity.hold = true;
    for requests in [0, 400] {
        for _ in 0..HOUR_STEPS / 4 {
            assert_eq!(planner.step(&mut cloud, &capacity, requests), Vec::new());
        }
    }
}

#[test]
fn only_lost_vms_are_replaced_during_a_store_outage() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 100, HOUR_STEPS / 2);
    let before = cloud.count(VmState::Live);
    planner.store = StoreStatus::Unreachable;
    let noticed = cloud.reclaim(0);
    assert!(!noticed.is_empty());
    planner.record_notices(&cloud, &noticed);
    for _ in 0..HOUR_STEPS / 2 {
        let actions = planner.step(&mut cloud, &capacity, 10);
        assert!(
            actions
                .iter()
                .all(|action| matches!(action, Action::Start(_))),
            "{actions:?}"
        );
        assert!(cloud.staying() <= before);
    }
    assert!(
        cloud.count(VmState::Live) + 1 >= 20 * before / 20,
        "{}",
        cloud.count(VmState::Live)
    );
}

#[test]
fn vms_above_a_lowered_ceiling_are_drained_at_once() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity(2, 60), 200, HOUR_STEPS / 4);
    assert!(cloud.vms().count() > 8);
    planner.settle(&mut cloud, &capacity(2, 8), 200, 12);
    assert_eq!(cloud.vms().count(), 8);
}

#[test]
fn a_lowered_ceiling_does_not_drain_vms_below_it() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity(8, 8), 0, 60);
    let lower = capacity(4, 4);
    for step in 0..120 {
        planner.step(&mut cloud, &lower, 0);
        assert!(cloud.staying() >= 4, "step {step}: {}", cloud.staying());
    }
    assert_eq!(cloud.count(VmState::Live), 4);
}
