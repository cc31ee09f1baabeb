//! A workspace sends a multiple of its limit, and its callers come back as told.
//!
//! Guards against late responses to callers that came back, in place of responses in time to new ones: with
//! all requests treated alike, half of the limit is spent on late ones.

use std::collections::VecDeque;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::quota::{Ledger, Limit, Timeliness};
use tokio::time::Instant;

const LIMIT: Limit = Limit {
    rate: 6_000_000.0,
    burst: 6_000_000.0,
};

const OBJECTIVE: Duration = Duration::from_millis(500);

/// time that a caller has, and the part of it up to which it follows a retry delay
const TIMEOUT: Duration = Duration::from_secs(8);
const FOLLOWED_PART: u32 = 3;

const ATTEMPTS: u32 = 3;
const STEP: Duration = Duration::from_millis(5);

/// units a second granted in time and late, at a load in multiples of the limit for some seconds
fn granted(load: f64, seconds: u32, seed: u64, seen: fn(Timeliness) -> Timeliness) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut ledger = Ledger::new(LIMIT, 0.0, 0.0, start);
    // callers that come back: when, when they came first, attempts, units
    let mut returning: VecDeque<(Instant, Instant, u32, f64)> = VecDeque::new();
    let (mut in_time, mut late) = (0.0, 0.0);
    let mut now = start;
    while now < start + Duration::from_secs(seconds.into()) {
        now += STEP;
        let mut arrivals: Vec<(Instant, u32, f64)> = Vec::new();
        let mut left = load * LIMIT.rate * STEP.as_secs_f64();
        while left > 0.0 {
            let units = rng.random_range(200.0..30_000.0);
            left -= units;
            arrivals.push((now, 1, units));
        }
        let due = returning.iter().filter(|(at, ..)| *at <= now);
        arrivals.extend(due.map(|(_, first, attempts, units)| (*first, *attempts, *units)));
        returning.retain(|(at, ..)| *at > now);
        arrivals.shuffle(&mut rng);
        for (first, attempts, units) in arrivals {
            let waited = now - first;
            let timeliness = if waited < OBJECTIVE {
                Timeliness::InTime
            } else {
                Timeliness::Late
            };
            match ledger.charge_peer("zone", units, seen(timeliness), now) {
                Ok(()) if timeliness == Timeliness::InTime => in_time += units,
                Ok(()) => late += units,
                Err(wait) if attempts < ATTEMPTS => {
                    let longest = (TIMEOUT - waited) / FOLLOWED_PART;
                    returning.push_back((now + wait.min(longest), first, attempts + 1, units));
                }
                Err(_) => {}
            }
        }
    }
    (in_time / f64::from(seconds), late / f64::from(seconds))
}

#[test]
fn new_requests_of_a_surging_workspace_are_served_in_time() {
    for seed in 0..5 {
        let (in_time, late) = granted(2.9, 7, seed, |timeliness| timeliness);
        assert!(in_time > 0.95 * LIMIT.rate, "seed {seed}: {in_time} {late}");
        let (in_time, late) = granted(2.9, 7, seed, |_| Timeliness::InTime);
        assert!(in_time < 0.8 * LIMIT.rate, "seed {seed}: {in_time} {late}");
    }
}

/// guards against late callers that are refused although the limit is not spent
#[test]
fn late_requests_are_served_while_the_limit_suffices() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMIT, LIMIT.burst, 0.0, now);
    let charged = ledger.charge_peer("zone", 20_000.0, Timeliness::Late, now);
    assert_eq!(charged, Ok(()));
}
