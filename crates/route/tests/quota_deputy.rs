//! A limit whose owner and its deputy decide at the same time, for different daemons.
//!
//! Replays the load under which a workspace far above its limit got a fifth of it for seconds: some
//! daemons ask the deputy, because the owner has not answered them in time, and both copy their ledgers
//! to each other. Reports of what was spent arrive 1.5 s late.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::quota::{Ledger, Limit, Quota, Timeliness};
use tokio::time::Instant;

const RATE: f64 = 6_000_000.0;
const BURST: f64 = 6_000_000.0;
const LIMIT: Limit = Limit {
    rate: RATE,
    burst: BURST,
};

/// share of the requests that the deputy decides
const DEPUTY_SHARE: f64 = 0.15;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: usize = 100;
const REPORT_STEPS: usize = 50;
const REPORT_DELAY: usize = 150;
const SIZES: std::ops::Range<f64> = 200.0..22_000.0;

struct Fleet {
    /// owner and deputy, with the units that each has applied from reports
    ledgers: [(Ledger, f64); 2],
    /// units spent up to each step
    spent: Vec<f64>,
    rng: ChaCha8Rng,
    now: Instant,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let now = Instant::now();
        let ledger = || (Ledger::new(LIMIT, BURST, 0.0, now), 0.0);
        Fleet {
            ledgers: [ledger(), ledger()],
            spent: vec![0.0],
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
        }
    }

    fn run(&mut self, load: f64, seconds: usize) {
        for _ in 0..seconds * STEPS_PER_SECOND {
            let mut spent = self.spent[self.spent.len() - 1];
            let mut left = load * RATE * STEP.as_secs_f64();
            while left > 0.0 {
                let units = self.rng.random_range(SIZES);
                left -= units;
                let index = usize::from(self.rng.random::<f64>() < DEPUTY_SHARE);
                let (ledger, _) = &mut self.ledgers[index];
                if ledger
                    .charge_peer("zone", units, Timeliness::InTime, self.now)
                    .is_ok()
                {
                    spent += units;
                }
            }
            self.spent.push(spent);
            self.now += STEP;
            for index in 0..2 {
                if let Some(copied) = self.ledgers[index].0.copy(self.now) {
                    let other = &mut self.ledgers[1 - index].0;
                    other.restore(&index.to_string(), copied, self.now);
                }
            }
            let step = self.spent.len() - 1;
            if step.is_multiple_of(REPORT_STEPS) {
                let reported = self.spent[step.saturating_sub(REPORT_DELAY)];
                for (ledger, applied) in &mut self.ledgers {
                    ledger.record_reported(reported - *applied, self.now);
                    *applied = reported;
                }
            }
        }
    }

    /// least and most units spent in any of the windows that begin after a step
    fn windows(&self, from: usize, seconds: usize) -> (f64, f64) {
        let length = seconds * STEPS_PER_SECOND;
        let windows = (from..self.spent.len() - length)
            .map(|start| self.spent[start + length] - self.spent[start]);
        windows.fold((f64::MAX, 0.0), |(least, most), window| {
            (least.min(window), most.max(window))
        })
    }
}

/// guards against units that are subtracted twice: with the copy of the other ledger, and when they are
/// reported
#[test]
fn workspace_far_above_its_limit_gets_the_limit_from_owner_and_deputy() {
    for seed in 0..10 {
        for load in [1.5, 3.0, 6.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(0.5, 6);
            fleet.run(load, 12);
            let (least, _) = fleet.windows(8 * STEPS_PER_SECOND, 1);
            let share = least / RATE;
            assert!(
                share > 0.8,
                "seed {seed}, load {load}: {share:.2} of the rate"
            );
        }
    }
}

/// guards against grants of both that exceed the limit together
#[test]
fn owner_and_deputy_keep_to_the_limit_together() {
    for seed in 0..10 {
        for load in [1.5, 3.0, 6.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(0.5, 6);
            fleet.run(load, 12);
            let (_, most) = fleet.windows(0, 8);
            let share = most / (8.0 * RATE + BURST);
            assert!(
                share <= 1.1,
                "seed {seed}, load {load}: {share:.3} of the limit"
            );
        }
    }
}

/// guards against an owner that each refused request of a workspace far above its limit asks
#[test]
fn refusal_of_the_owner_answers_further_requests_for_a_short_time() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut quota = Quota::new(LIMIT, 0.0, 0.01, start);
    let wait = Duration::from_millis(800);
    quota.record_refused((9_000.0, Timeliness::InTime), wait, 74, start);
    let first = quota
        .known_refusal(9_000.0, Timeliness::InTime, at(10))
        .expect("a refusal");
    let second = quota
        .known_refusal(20_000.0, Timeliness::InTime, at(10))
        .expect("a refusal");
    assert!(
        first > Duration::from_millis(790),
        "{first:?}: behind the request that the owner refused"
    );
    assert!(second > first, "those refused later return later");
    assert_eq!(
        quota.known_refusal(8_000.0, Timeliness::InTime, at(20)),
        None,
        "smaller"
    );
    assert_eq!(
        quota.known_refusal(9_000.0, Timeliness::InTime, at(186)),
        None,
        "too old"
    );
}
