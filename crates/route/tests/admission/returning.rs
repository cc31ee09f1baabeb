//! Load pattern: callers that were refused come back as told while VMs are full.

use std::time::Duration;

use route::placement::{Caller, Kind, Refused, Returns, time_limit};
use tokio::time::Instant;

use super::cluster::SERVICE;

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

/// delays of callers that are refused at the same time, in milliseconds
fn delays(admitted_per_second: u64, refused: u64, left: Duration) -> Vec<u128> {
    let available_in = Duration::from_millis(300);
    delays_from(available_in, admitted_per_second, refused, left)
}

fn delays_from(
    available_in: Duration,
    admitted_per_second: u64,
    refused: u64,
    left: Duration,
) -> Vec<u128> {
    let start = Instant::now();
    let mut returns = Returns::new(start);
    let mut now = start;
    for _ in 0..admitted_per_second * 6 {
        now += Duration::from_secs(1) / u32::try_from(admitted_per_second).expect("a small rate");
        returns.record_admitted(SERVICE, 0, now);
    }
    let delays = (0..refused).filter_map(|number| {
        let refused = Refused {
            available_in,
            left,
            draw: xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()),
        };
        returns.delay(SERVICE, 0, &refused, now)
    });
    delays.map(|delay| delay.as_millis()).collect()
}

/// guards against callers that all return at once, to be refused again
#[test]
fn callers_refused_together_return_over_the_capacity_that_will_be_there() {
    // in the 2.4 s after the first capacity, half of 40 a second may return
    let delays = delays(40, 45, TIMEOUT);
    assert_eq!(delays.len(), 45);
    for from_ms in (0..3000).step_by(500) {
        let returning = delays
            .iter()
            .filter(|ms| (from_ms..from_ms + 500).contains(*ms));
        let returning = returning.count();
        assert!(returning <= 13, "{returning} return from {from_ms} ms on");
    }
}

/// guards against delays that clients do not follow
#[test]
fn no_delay_is_longer_than_a_third_of_the_time_left() {
    let left = Duration::from_millis(3000);
    let delays = delays(2, 200, left);
    assert!(delays.iter().all(|ms| *ms <= 1000), "{delays:?}");
    let early = delays.iter().filter(|ms| **ms < 650).count();
    assert!(
        (50..150).contains(&early),
        "{early} of 200 in the first half"
    );
}

/// guards against a short delay that promises what can't be kept
#[test]
fn a_caller_without_enough_time_is_told_no_delay() {
    assert!(delays(40, 1, Duration::from_millis(200)).is_empty());
    let late = Duration::from_millis(5000);
    assert!(delays_from(late, 40, 1, Duration::from_millis(5000)).is_empty());
    assert_eq!(
        delays_from(late, 40, 1, Duration::from_millis(9000)),
        [3000]
    );
}
