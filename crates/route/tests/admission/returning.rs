//! Load pattern: callers that were refused come back as told while VMs are full.

use std::time::Duration;

use route::placement::{Caller, Kind, time_limit};

const CHAT: Kind = Kind {
    priority: 0,
    objective: Duration::from_millis(400),
};
const BATCH: Kind = Kind {
    priority: 2,
    objective: Duration::from_millis(2500),
};
const TIMEOUT: Duration = Duration::from_millis(8000);

fn limit_ms(kind: Kind, waited_ms: u64) -> u128 {
    let left = TIMEOUT - Duration::from_millis(waited_ms);
    let caller = Caller::new(Some(left), TIMEOUT, Duration::ZERO);
    time_limit(kind, &[CHAT, BATCH], &caller).total.as_millis()
}

/// guards against a caller that is refused again and again in favour of new ones
#[test]
fn a_caller_that_has_come_back_goes_ahead_of_new_ones() {
    for kind in [CHAT, BATCH] {
        for waited_ms in [300, 1000, 4000, 7000] {
            let (new, returned) = (limit_ms(kind, 0), limit_ms(kind, waited_ms));
            assert!(returned > new, "{kind:?} after {waited_ms} ms");
        }
    }
}

/// guards against VMs that fill up with requests that are late anyway
#[test]
fn a_caller_that_will_be_late_displaces_little() {
    for kind in [CHAT, BATCH] {
        let (new, late) = (limit_ms(kind, 0), limit_ms(kind, 4000));
        assert!(late <= new * 5 / 4, "{kind:?}: {late} ms, new: {new} ms");
    }
}

/// guards against clients that gain by stating less time than they have
#[test]
fn a_short_stated_time_does_not_pass_more_urgent_kinds() {
    for stated_ms in (0..8000).step_by(100) {
        let limit = limit_ms(BATCH, 8000 - stated_ms);
        assert!(limit < limit_ms(CHAT, 0), "with {stated_ms} ms: {limit} ms");
    }
}

/// guards against work for callers that will have given up
#[test]
fn what_takes_longer_than_the_caller_waits_is_not_accepted() {
    let stated = Some(Duration::from_millis(250));
    let caller = Caller::new(stated, TIMEOUT, Duration::from_millis(50));
    let limit = time_limit(CHAT, &[CHAT, BATCH], &caller);
    assert_eq!(limit.patience, Duration::from_millis(200));
}
