//! Bad versions are stopped within their bounds, and good ones are completed in time.
//!
//! Evidence is 2.5 s late at all daemons. Durations are 12 to 16 s, by seed. Each test prints a row of the
//! table in `docs/MEASUREMENTS.md`.

mod evidence;
mod naive;
mod outcome;
mod plan;
mod service;

use outcome::{Outcome, ROLLBACK_MS};
use route::rollout::{State, Verdict};
use service::{Fault, Noise, Service, Shape};

/// seeds of each kind
const SEEDS: u64 = 200;

const LARGE: Shape = Shape {
    per_s: 730.0,
    vms: 90,
    zones: 6,
    daemons: 91,
    duration_ms: 12_000,
};

const SMALL: Shape = Shape {
    per_s: 30.0,
    vms: 9,
    zones: 3,
    daemons: 9,
    ..LARGE
};

fn failing(part: f64) -> Fault {
    Fault {
        part,
        ..Fault::default()
    }
}

fn slow(part: f64, slowness: f64) -> Fault {
    Fault {
        slowness,
        ..failing(part)
    }
}

fn outcomes(shape: Shape, fault: impl Fn(u64) -> Option<Fault>, noise: Noise) -> Vec<Outcome> {
    let outcome = |seed: u64| {
        let duration_ms = shape.duration_ms + 1000 * (seed % 5);
        let shape = Shape {
            duration_ms,
            ..shape
        };
        Service::new(shape, fault(seed), noise, seed).run()
    };
    (0..SEEDS).map(outcome).collect()
}

fn count(outcomes: &[Outcome], is_counted: impl Fn(&Outcome) -> bool) -> usize {
    outcomes
        .iter()
        .filter(|outcome| is_counted(outcome))
        .count()
}

/// asserts that a bad version is found in time, and that the naive policy breaks a bound for it
fn assert_stopped(kind: &str, shape: Shape, noise: Noise, fault: impl Fn(u64) -> Fault) {
    let all = outcomes(shape, |seed| Some(fault(seed)), noise);
    let wrong = count(&all, |one| {
        one.verdict != Verdict::Bad || one.state != State::RolledBack
    });
    let over = count(&all, |one| one.exposure() > 1.0);
    let late = count(&all, |one| one.late_ms > ROLLBACK_MS);
    let naive = count(&all, Outcome::is_naive_broken);
    let largest = all.iter().map(Outcome::exposure).fold(0.0, f64::max);
    let late_ms = all.iter().map(|one| one.late_ms).max().unwrap_or(0);
    let mut ends: Vec<u64> = all.iter().map(|one| one.ended_ms).collect();
    ends.sort_unstable();
    println!(
        "| {} | {kind} | {wrong} | {largest:.2} | {over} | {:.1} | {:.1} | {late} | {naive} |",
        shape.per_s,
        ends[ends.len() / 2] as f64 / 1000.0,
        late_ms as f64 / 1000.0,
    );
    assert!(
        naive > 0,
        "the naive policy keeps the bounds in all {SEEDS} seeds"
    );
    assert_eq!((wrong, over, late), (0, 0, 0), "of {SEEDS}: {kind}");
}

/// asserts that a good version is completed, and that the naive policy stops it at some daemon
fn assert_completed(kind: &str, shape: Shape, noise: Noise) {
    let all = outcomes(shape, |_| None, noise);
    let wrong = count(&all, |one| one.verdict == Verdict::Bad);
    let missed = count(&all, |one| one.state != State::Completed);
    let naive = count(&all, |one| one.naive_stopped > 0);
    let ended_ms = all.iter().map(|one| one.ended_ms).max().unwrap_or(0);
    println!(
        "| {} | {kind} | {wrong} | {missed} | {:.1} | {naive} |",
        shape.per_s,
        ended_ms as f64 / 1000.0
    );
    for one in all.iter().filter(|one| one.state != State::Completed) {
        println!("not completed: {:?}", one.finding);
    }
    assert!(naive > 0, "the naive policy completes all {SEEDS} seeds");
    assert_eq!((wrong, missed), (0, 0), "of {SEEDS}: {kind}");
}

#[test]
fn version_that_fails_half_is_stopped() {
    assert_stopped("1/2 failed", LARGE, Noise::None, |_| failing(0.5));
}

#[test]
fn version_that_fails_a_third_is_stopped() {
    assert_stopped("1/3 failed", LARGE, Noise::None, |_| failing(0.33));
}

#[test]
fn version_that_fails_a_third_is_stopped_at_little_traffic() {
    assert_stopped("1/3 failed", SMALL, Noise::None, |_| failing(0.33));
}

#[test]
fn version_that_fails_a_tenth_is_stopped() {
    assert_stopped("1/10 failed", LARGE, Noise::None, |_| failing(0.1));
}

#[test]
fn version_that_fails_a_tenth_is_stopped_at_little_traffic() {
    assert_stopped("1/10 failed", SMALL, Noise::None, |_| failing(0.1));
}

#[test]
fn version_that_is_much_slower_for_half_is_stopped() {
    assert_stopped("1/2 8 times slower", LARGE, Noise::None, |_| slow(0.5, 8.0));
}

#[test]
fn version_that_is_much_slower_for_half_is_stopped_at_little_traffic() {
    assert_stopped("1/2 8 times slower", SMALL, Noise::None, |_| slow(0.5, 8.0));
}

/// 3 to 8, by seed
fn slowness(seed: u64) -> f64 {
    3.0 + 0.5 * (seed % 11) as f64
}

#[test]
fn version_that_is_slower_for_a_third_is_stopped() {
    let fault = |seed| slow(0.33, slowness(seed));
    assert_stopped("1/3 3 to 8 times slower", LARGE, Noise::None, fault);
}

#[test]
fn version_that_is_slower_for_a_third_is_stopped_at_little_traffic() {
    let fault = |seed| slow(0.33, slowness(seed));
    assert_stopped("1/3 3 to 8 times slower", SMALL, Noise::None, fault);
}

/// a fault from 2 to 4 s on, by seed
fn later(fault: Fault, seed: u64) -> Fault {
    Fault {
        from_ms: 2000 + 500 * (seed % 5),
        ..fault
    }
}

#[test]
fn version_that_fails_later_is_stopped() {
    let fault = |seed| later(failing(0.33), seed);
    assert_stopped("1/3 failed after 2 to 4 s", LARGE, Noise::None, fault);
}

#[test]
fn version_that_fails_later_is_stopped_at_little_traffic() {
    let fault = |seed| later(failing(0.33), seed);
    assert_stopped("1/3 failed after 2 to 4 s", SMALL, Noise::None, fault);
}

#[test]
fn version_that_is_slower_later_is_stopped() {
    let fault = |seed| later(slow(0.5, 8.0), seed);
    assert_stopped(
        "1/2 8 times slower after 2 to 4 s",
        LARGE,
        Noise::None,
        fault,
    );
}

fn under_load(fault: Fault) -> Fault {
    Fault {
        is_under_load: true,
        ..fault
    }
}

#[test]
fn version_that_fails_under_load_is_stopped() {
    let fault = |_| under_load(failing(0.33));
    assert_stopped("1/3 failed under load", LARGE, Noise::None, fault);
}

#[test]
fn version_that_fails_under_load_is_stopped_at_little_traffic() {
    let fault = |_| under_load(failing(0.33));
    assert_stopped("1/3 failed under load", SMALL, Noise::None, fault);
}

fn on_one_route(fault: Fault) -> Fault {
    Fault {
        is_on_one_route: true,
        ..fault
    }
}

#[test]
fn version_that_fails_on_one_route_is_stopped() {
    let fault = |_| on_one_route(failing(0.5));
    assert_stopped("1/2 failed on 1/5", LARGE, Noise::None, fault);
}

#[test]
fn version_that_fails_on_one_route_is_stopped_at_little_traffic() {
    let fault = |_| on_one_route(failing(0.5));
    assert_stopped("1/2 failed on 1/5", SMALL, Noise::None, fault);
}

#[test]
fn version_that_is_slower_on_one_route_is_stopped() {
    let fault = |_| on_one_route(slow(0.5, 6.0));
    assert_stopped("1/2 6 times slower on 1/5", LARGE, Noise::None, fault);
}

#[test]
fn failures_of_both_versions_do_not_hide_a_bad_one() {
    let fault = |_| failing(0.5);
    assert_stopped(
        "1/2 failed, both 45 % for 4 s",
        LARGE,
        Noise::Failing,
        fault,
    );
}

#[test]
fn slow_vms_of_both_versions_do_not_hide_a_bad_one() {
    let fault = |_| slow(0.5, 8.0);
    assert_stopped(
        "1/2 8 times slower, 1/7 of VMs 7.5",
        LARGE,
        Noise::SlowVms,
        fault,
    );
}

#[test]
fn failures_of_both_versions_do_not_condemn() {
    assert_completed("both fail 45 % for 4 s", LARGE, Noise::Failing);
}

#[test]
fn failures_of_both_versions_do_not_condemn_at_little_traffic() {
    assert_completed("both fail 45 % for 4 s", SMALL, Noise::Failing);
}

#[test]
fn slow_vms_of_both_versions_do_not_condemn() {
    assert_completed("1/7 of all VMs 7.5 times slower", LARGE, Noise::SlowVms);
}

#[test]
fn slow_vms_of_both_versions_do_not_condemn_at_little_traffic() {
    assert_completed("1/7 of all VMs 7.5 times slower", SMALL, Noise::SlowVms);
}

#[test]
fn slow_vms_of_the_new_version_do_not_condemn() {
    assert_completed("1/7 of new VMs 7.5 times slower", LARGE, Noise::SlowNewVms);
}

#[test]
fn slow_vms_of_the_new_version_do_not_condemn_at_little_traffic() {
    assert_completed("1/7 of new VMs 7.5 times slower", SMALL, Noise::SlowNewVms);
}

#[test]
fn crashes_do_not_condemn() {
    assert_completed("VMs crash in turn", LARGE, Noise::Crashes);
}

#[test]
fn crashes_do_not_condemn_at_little_traffic() {
    assert_completed("VMs crash in turn", SMALL, Noise::Crashes);
}

#[test]
fn loss_of_a_zone_does_not_condemn() {
    assert_completed("a zone is reclaimed", LARGE, Noise::Zone);
}

#[test]
fn loss_of_a_zone_does_not_condemn_at_little_traffic() {
    assert_completed("a zone is reclaimed", SMALL, Noise::Zone);
}

#[test]
fn lost_responses_do_not_condemn() {
    assert_completed("15 % of responses lost", LARGE, Noise::Lost);
}

#[test]
fn loss_of_responses_does_not_condemn_at_little_traffic() {
    assert_completed("15 % of responses lost", SMALL, Noise::Lost);
}

#[test]
fn cold_caches_do_not_condemn() {
    assert_completed("cold caches of new VMs", LARGE, Noise::Cold);
}

#[test]
fn cold_caches_do_not_condemn_at_little_traffic() {
    assert_completed("cold caches of new VMs", SMALL, Noise::Cold);
}

#[test]
fn short_slow_periods_do_not_condemn() {
    assert_completed(
        "1/6 of VMs 2.5 times slower for 600 ms",
        LARGE,
        Noise::Periods,
    );
}

#[test]
fn short_slow_periods_do_not_condemn_at_little_traffic() {
    assert_completed(
        "1/6 of VMs 2.5 times slower for 600 ms",
        SMALL,
        Noise::Periods,
    );
}

#[test]
fn slow_daemons_do_not_condemn() {
    assert_completed("1/7 of daemons 3 times slower", LARGE, Noise::SlowDaemons);
}

#[test]
fn slow_daemons_do_not_condemn_at_little_traffic() {
    assert_completed("1/7 of daemons 3 times slower", SMALL, Noise::SlowDaemons);
}
