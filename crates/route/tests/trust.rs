//! What a configuration may be used for at each age.

use std::time::Duration;

use route::trust::{Bounds, Trust, judge};

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
            judge(Duration::from_millis(age_ms), &BOUNDS),
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
    assert_eq!(judge(Duration::from_secs(3600), &bounds), Trust::Behind);
}
