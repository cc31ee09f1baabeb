//! Windows of usage follow true time although the time of day of some VMs jumps.

use std::time::{Duration, SystemTime};

use gateway::{Clock, Estimate, WallClock};

const STEP: f64 = 2400.0;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn jump_of_the_time_of_day_hardly_changes_the_estimate() {
    for step in [STEP, -STEP] {
        let mut estimate = Estimate::new(0.0);
        assert_eq!(estimate.at(0.0, seconds(10)), 0.0);
        // the time of day stays wrong for 20 s, then jumps back
        for second in 11..31 {
            assert!(estimate.at(step, seconds(second)).abs() <= 20.0);
        }
        for second in 31..60 {
            estimate.at(0.0, seconds(second));
        }
        assert_eq!(estimate.at(0.0, seconds(60)), 0.0);
    }
}

#[test]
fn vm_that_starts_with_a_wrong_time_takes_that_of_most_peers() {
    let mut estimate = Estimate::new(STEP);
    for (name, offset) in [("a", 3.0), ("b", STEP), ("c", -2.0), ("d", 1.0)] {
        estimate.add_peer(name, offset, seconds(1));
    }
    assert_eq!(estimate.at(STEP, seconds(2)), 3.0);
    // peers are not asked again later, when they may have been stepped in turn
    estimate.add_peer("e", STEP, seconds(9));
    estimate.add_peer("f", STEP, seconds(9));
    assert!((estimate.at(STEP, seconds(9)) - 3.0).abs() <= 7.0);
}

#[test]
fn most_times_of_day_may_jump_while_the_daemons_run() {
    let mut daemons: Vec<Estimate> = (0..8).map(|_| Estimate::new(0.0)).collect();
    for second in 6..20 {
        for (number, daemon) in daemons.iter_mut().enumerate() {
            let own = if number < 6 { STEP } else { 0.0 };
            assert!(daemon.at(own, seconds(second)) <= 20.0);
        }
    }
}

#[test]
fn wall_clock_follows_the_time_of_day_at_the_start() {
    let clock = WallClock::start(Clock::start());
    let difference = clock.now().duration_since(SystemTime::now());
    assert!(difference.map_or(true, |ahead| ahead < Duration::from_millis(50)));
    clock.set_reading(|| SystemTime::now() + Duration::from_millis(2400));
    let ahead = clock
        .now()
        .duration_since(SystemTime::now())
        .unwrap_or_default();
    assert!(ahead < Duration::from_millis(50), "{ahead:?}");
}
