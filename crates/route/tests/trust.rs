//! Trust in a configuration by its age, and the watches of watchers and followers.

use std::time::Duration;

use route::trust::{Bounds, Role, Trust, classify};

const BOUNDS: Bounds = Bounds {
    apply: Duration::from_millis(2500),
    keys: Some(Duration::from_millis(5000)),
};

#[test]
fn trust_by_age() {
    let table = [
        (0, Trust::Current),
        (1900, Trust::Current),
        (2100, Trust::Behind),
        (4200, Trust::Behind),
        (4300, Trust::Stale),
        (60_000, Trust::Stale),
    ];
    for (age_ms, trust) in table {
        assert_eq!(
            classify(Duration::from_millis(age_ms), &BOUNDS),
            trust,
            "{age_ms} ms"
        );
    }
}

#[test]
fn without_a_bound_keys_are_always_trusted() {
    let bounds = Bounds {
        keys: None,
        ..BOUNDS
    };
    assert_eq!(classify(Duration::from_secs(3600), &bounds), Trust::Behind);
}

#[test]
fn a_follower_queries_the_store_rarely_while_confirmed_and_at_once_otherwise() {
    let confirmed = Duration::from_millis(1000);
    // a watch without an answer has to be detected before a new configuration is due
    let unconfirmed = BOUNDS.apply.mul_f64(0.95);
    for draw in [0.0, 0.5, 1.0] {
        let long = Role::Follower.watch_timeout(confirmed, &BOUNDS, draw);
        assert!(long >= Duration::from_secs(10));
        assert!(Role::Follower.may_continue(long, confirmed, &BOUNDS));
        assert!(!Role::Follower.may_continue(long, unconfirmed, &BOUNDS));
        let short = Role::Follower.watch_timeout(unconfirmed, &BOUNDS, draw);
        assert_eq!(classify(unconfirmed + short, &BOUNDS), Trust::Behind);
        assert!(Role::Follower.may_continue(short, unconfirmed, &BOUNDS));
    }
}

#[test]
fn a_watchers_confirmation_is_recent_enough_to_be_passed_on() {
    let watch = Role::Watcher.watch_timeout(Duration::ZERO, &BOUNDS, 0.5);
    let passed_on = Duration::from_millis(500);
    assert_eq!(classify(watch + passed_on, &BOUNDS), Trust::Current);
    assert!(Role::Watcher.may_continue(watch, BOUNDS.apply, &BOUNDS));
    let long = Role::Follower.watch_timeout(Duration::ZERO, &BOUNDS, 0.0);
    assert!(
        !Role::Watcher.may_continue(long, Duration::ZERO, &BOUNDS),
        "a follower's watch continues after it became a watcher"
    );
}
