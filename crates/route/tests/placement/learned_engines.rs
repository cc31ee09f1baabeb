//! Load pattern: engines that prefill at another rate than assumed.

use std::time::Duration;

use route::placement::{Balancer, Timing};

use super::SERVICE;
use super::cluster::{Cluster, Setup, Summary};

pub fn setup(tokens_per_ms: f64, learns: bool, seed: u64) -> Setup {
    Setup {
        daemons: 24,
        vms: 30,
        rate: 150.0,
        timing: Timing {
            tokens_per_ms,
            base: Duration::from_millis(25),
            slot_time: Duration::from_millis(900),
        },
        learns,
        slow: 2.5,
        period_ms: 600,
        loss_s: 20,
        end_s: 30,
        seed,
    }
}

pub fn run(setup: Setup) -> (Summary, Option<Timing>, u32) {
    let mut cluster = Cluster::new(setup);
    let learned = cluster.run();
    (cluster.summary, cluster.learned(), learned)
}

/// with the assumed rate, a large part of the requests that the remaining third of the VMs can
/// serve in time is refused
#[test]
fn fast_engines_are_used_to_their_capacity_after_a_loss_of_vms() {
    let (mut lost_assumed, mut lost_learned) = (0, 0);
    for seed in 0..5 {
        let (assumed, none, _) = run(setup(157.0, false, seed));
        let (learned, timing, _) = run(setup(157.0, true, seed));
        assert_eq!(none, None);
        let timing = timing.expect("times that were learned");
        assert!(
            (115.0..=200.0).contains(&timing.tokens_per_ms),
            "{timing:?}"
        );
        assert!(
            learned.refused * 4 < assumed.refused,
            "{learned:?} {assumed:?}"
        );
        lost_assumed += assumed.refused + assumed.late;
        lost_learned += learned.refused + learned.late;
    }
    println!("refused or late: {lost_assumed} with assumed, {lost_learned} with learned times");
    assert!(
        lost_learned * 2 < lost_assumed,
        "{lost_learned} of {lost_assumed}"
    );
}

/// guards against requests that are accepted and late, as the engines need longer than assumed
#[test]
fn slow_engines_are_learned() {
    for seed in 0..3 {
        let slow = Setup {
            rate: 25.0,
            ..setup(22.0, true, seed)
        };
        let (_, timing, _) = run(slow);
        let timing = timing.expect("times that were learned");
        assert!((14.0..=32.0).contains(&timing.tokens_per_ms), "{timing:?}");
    }
}

/// deployments whose engines match the assumption are served as before
#[test]
fn engines_that_match_the_assumption_are_not_learned() {
    for tokens_per_ms in [54.6, 61.8, 64.2] {
        for seed in 0..5 {
            let (summary, _, learned) = run(setup(tokens_per_ms, true, seed));
            assert_eq!(learned, 0, "{tokens_per_ms} seed {seed}: {summary:?}");
        }
    }
}

/// a daemon that has just started uses what its peers measured with their first report
#[test]
fn a_daemon_that_has_just_started_uses_the_times_of_its_peers() {
    let mut cluster = Cluster::new(Setup {
        end_s: 15,
        ..setup(157.0, true, 1)
    });
    cluster.run();
    let now = cluster.now();
    let mut started = Balancer::new();
    started.set_members(SERVICE, Vec::new());
    let [total, rough] = cluster.measured(now);
    started.apply_measurement(SERVICE, &total, &rough);
    assert!(started.learned(SERVICE).is_some());
}
