//! Requests that arrive during a planned stop, at every moment of the grace period.

use std::time::Duration;

use route::drain::{BALANCER_DELAY, Schedule};
use tokio::time::Instant;

/// step between two arrivals
const STEP: Duration = Duration::from_millis(10);

/// time limits of requests, from short calls to long streams
const TIME_LIMITS: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_millis(2500),
    Duration::from_secs(6),
    Duration::from_secs(15),
];

/// replays arrivals every 10 ms for all time limits
fn for_all_arrivals(grace: Duration, check: impl Fn(Duration, Duration, bool)) {
    let started = Instant::now();
    let schedule = Schedule::new(started, grace);
    let mut after = Duration::ZERO;
    while after < grace + STEP {
        for time_limit in TIME_LIMITS {
            check(
                after,
                time_limit,
                schedule.admits(started + after, time_limit),
            );
        }
        after += STEP;
    }
}

/// requests read late in the grace period were accepted and cut at its end (LOST in a planned stop)
#[test]
fn a_request_read_after_the_balancer_delay_is_taken_only_if_it_ends_in_time() {
    for grace_s in [3, 5, 8, 20] {
        let grace = Duration::from_secs(grace_s);
        let exit = Schedule::new(Instant::now(), grace);
        let usable = exit.exit_at() - Instant::now();
        for_all_arrivals(grace, |after, time_limit, is_taken| {
            if is_taken && after >= BALANCER_DELAY {
                assert!(
                    after + time_limit < usable,
                    "taken after {after:?} of {grace:?} with the time limit {time_limit:?}"
                );
            }
        });
    }
}

#[test]
fn requests_are_taken_while_the_load_balancer_sends_new_callers() {
    for_all_arrivals(Duration::from_secs(8), |after, time_limit, is_taken| {
        if after < BALANCER_DELAY {
            assert!(is_taken, "refused after {after:?}, {time_limit:?}");
        }
    });
}

#[test]
fn a_request_that_ends_in_time_is_taken_late() {
    let started = Instant::now();
    let schedule = Schedule::new(started, Duration::from_secs(8));
    let late = started + Duration::from_millis(4500);
    assert!(schedule.admits(late, Duration::from_millis(2500)));
    assert!(!schedule.admits(late, Duration::from_millis(2700)));
    assert!(!schedule.admits(schedule.answer_at(), Duration::ZERO));
}

#[test]
fn requests_are_answered_before_the_process_exits_and_it_exits_before_it_is_killed() {
    let started = Instant::now();
    for grace_ms in [200, 1000, 8000, 60_000] {
        let grace = Duration::from_millis(grace_ms);
        let schedule = Schedule::new(started, grace);
        assert!(schedule.answer_at() >= started);
        assert!(schedule.answer_at() < schedule.exit_at());
        assert!(schedule.exit_at() < started + grace);
    }
}
