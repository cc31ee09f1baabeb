//! Noise, holds and outages do not make VMs come and go.

use fleet::{Action, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::cloud::State as Life;

use crate::cloud::{Cloud, STEP};
use crate::planner::{Planner, capacity};

/// steps of an hour
const HOUR: usize = 3_600 / STEP.as_secs() as usize;

#[test]
fn noise_does_not_flap() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cloud = Cloud::new();
        let mut planner = Planner::new(&cloud);
        let capacity = capacity(2, 60);
        let mut noisy = || random.random_range(70..130);
        for _ in 0..HOUR / 2 {
            planner.step(&mut cloud, &capacity, noisy());
        }
        let before = cloud.starts + cloud.removals;
        for _ in 0..4 * HOUR {
            planner.step(&mut cloud, &capacity, noisy());
        }
        let changes = cloud.starts + cloud.removals - before;
        assert!(changes <= 2, "seed {seed}: {changes} changes in four hours");
    }
}

#[test]
fn demand_that_falls_for_good_shrinks_after_the_peak_is_past() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 200, HOUR / 2);
    let high = cloud.count(Life::Live);
    planner.settle(&mut cloud, &capacity, 20, 240 / STEP.as_secs() as usize);
    assert_eq!(
        cloud.count(Life::Live),
        high,
        "the peak is four minutes past"
    );
    planner.settle(&mut cloud, &capacity, 20, HOUR / 2);
    assert!(
        cloud.count(Life::Live) < high / 3,
        "{} of {high}",
        cloud.count(Life::Live)
    );
}

#[test]
fn a_new_holder_removes_nothing_at_first() {
    let mut cloud = Cloud::new();
    let capacity = capacity(2, 60);
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity, 200, HOUR / 2);
    let high = cloud.count(Life::Live);
    // it hears of no demand yet
    let mut successor = Planner::new(&cloud);
    for _ in 0..HOUR / 20 {
        successor.step(&mut cloud, &capacity, 0);
        assert_eq!(cloud.count(Life::Live), high);
    }
}

#[test]
fn without_reports_nothing_is_removed() {
    let mut cloud = Cloud::new();
    let capacity = capacity(2, 60);
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity, 200, HOUR / 2);
    let high = cloud.count(Life::Live);
    for _ in 0..HOUR {
        cloud.advance();
        let actions = planner.plan(&cloud, &capacity);
        planner.act(&mut cloud, &actions);
    }
    assert_eq!(cloud.count(Life::Live), high);
}

#[test]
fn on_hold_nothing_happens() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let mut capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 100, HOUR / 4);
    capacity.hold = true;
    for requests in [0, 400] {
        for _ in 0..HOUR / 4 {
            assert_eq!(planner.step(&mut cloud, &capacity, requests), Vec::new());
        }
    }
}

#[test]
fn while_the_store_is_out_losses_are_replaced_and_no_more() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    let capacity = capacity(2, 60);
    planner.settle(&mut cloud, &capacity, 100, HOUR / 2);
    let before = cloud.count(Life::Live);
    planner.store = Store::Out;
    let noticed = cloud.reclaim(0);
    assert!(!noticed.is_empty());
    planner.hear(&cloud, &noticed);
    for _ in 0..HOUR / 2 {
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
        cloud.count(Life::Live) + 1 >= 20 * before / 20,
        "{}",
        cloud.count(Life::Live)
    );
}

#[test]
fn a_lower_ceiling_drains_at_once() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity(2, 60), 200, HOUR / 4);
    assert!(cloud.vms().count() > 8);
    planner.settle(&mut cloud, &capacity(2, 8), 200, 12);
    assert_eq!(cloud.vms().count(), 8);
}

#[test]
fn a_lower_ceiling_never_drains_below_itself() {
    let mut cloud = Cloud::new();
    let mut planner = Planner::new(&cloud);
    planner.settle(&mut cloud, &capacity(8, 8), 0, 60);
    let lower = capacity(4, 4);
    for step in 0..120 {
        planner.step(&mut cloud, &lower, 0);
        assert!(cloud.staying() >= 4, "step {step}: {}", cloud.staying());
    }
    assert_eq!(cloud.count(Life::Live), 4);
}
