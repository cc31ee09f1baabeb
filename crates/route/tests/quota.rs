//! Limits shared by several daemons whose reports reach each other with a delay.

use std::time::Duration;

use proptest::prelude::*;
use route::quota::{Ledger, Limit, PeerSpending, Quota, Timeliness};
use tokio::time::Instant;

/// interval between two reports of a daemon
const ROUND: Duration = Duration::from_millis(700);

const LIMIT: Limit = Limit {
    rate: 47_000.0,
    burst: 104_000.0,
};

/// daemons that share a limit; spending of one round reaches the peers at the end of the
/// next round
struct Fleet {
    quotas: Vec<Quota>,
    in_transit: Vec<f64>,
    reported: Vec<f64>,
    now: Instant,
}

impl Fleet {
    fn new(daemons: usize) -> Fleet {
        let now = Instant::now();
        let quota = Quota::new(LIMIT, LIMIT.burst, 1.0 / daemons as f64, now);
        Fleet {
            quotas: vec![quota; daemons],
            in_transit: vec![0.0; daemons],
            reported: vec![0.0; daemons],
            now,
        }
    }

    fn exchange(&mut self) {
        let spent = std::mem::replace(
            &mut self.in_transit,
            self.quotas.iter().map(Quota::spent).collect(),
        );
        let new: Vec<f64> = spent
            .iter()
            .zip(&self.reported)
            .map(|(now, reported)| now - reported)
            .collect();
        let now = self.now;
        let demands: Vec<f64> = self
            .quotas
            .iter_mut()
            .map(|quota| quota.demand(now))
            .collect();
        let daemons = self.quotas.len();
        for (index, quota) in self.quotas.iter_mut().enumerate() {
            let peers = PeerSpending {
                spent: new.iter().sum::<f64>() - new[index],
                demand: demands.iter().sum::<f64>() - demands[index],
                daemons,
                is_partial: false,
            };
            quota.apply_peers(&peers, now);
        }
        self.reported = spent;
    }

    /// sends each daemon `count` requests of `units` each round; returns the total spent after
    /// each round, and the number of refusals
    fn run(&mut self, rounds: usize, requests: &[(f64, usize)]) -> (Vec<f64>, usize) {
        let mut refused = 0;
        let mut totals = vec![0.0];
        for _ in 0..rounds {
            for (daemon, (units, count)) in requests.iter().enumerate() {
                for _ in 0..*count {
                    if self.quotas[daemon]
                        .spend(*units, Timeliness::InTime, self.now)
                        .is_err()
                    {
                        refused += 1;
                    }
                }
            }
            self.now += ROUND;
            self.exchange();
            totals.push(self.quotas.iter().map(Quota::spent).sum());
        }
        (totals, refused)
    }
}

#[test]
fn a_workspace_below_its_limit_is_not_refused() {
    let mut fleet = Fleet::new(8);
    // 28,000 units per second, all at one daemon, in requests larger than an eighth of the burst
    let mut requests = [(0.0, 0); 8];
    requests[3] = (20_000.0, 1);
    let (_, refused) = fleet.run(60, &requests);
    assert_eq!(refused, 0);
}

#[test]
fn a_workspace_above_its_limit_is_held_to_it_by_all_daemons() {
    let mut fleet = Fleet::new(8);
    // many times the limit arrives at once, with full buckets
    let (totals, refused) = fleet.run(60, &[(17_000.0, 9); 8]);
    assert!(refused > 0);
    let window = (8.0 / ROUND.as_secs_f64()) as usize;
    // the deployment's bound: limit of the window plus burst, ten per cent more, and a tolerance
    let allowed = (LIMIT.rate * 8.0 + 47_000.0) * 1.1 + 190_000.0;
    for at in window..totals.len() {
        let spent = totals[at] - totals[at - window];
        assert!(spent <= allowed, "{spent} in a window, {allowed} allowed");
    }
}

#[test]
fn a_small_request_after_a_large_one_is_served_while_the_level_is_high() {
    let mut fleet = Fleet::new(8);
    let now = fleet.now;
    let quota = &mut fleet.quotas[0];
    assert!(quota.spend(40_000.0, Timeliness::InTime, now).is_ok());
    assert!(quota.spend(200.0, Timeliness::InTime, now).is_ok());
    assert!(quota.spend(40_000.0, Timeliness::InTime, now).is_err());
}

#[test]
fn a_restart_of_all_daemons_does_not_raise_the_limit() {
    let mut fleet = Fleet::new(7);
    let requests = [(30_000.0, 3); 7];
    let (mut totals, _) = fleet.run(8, &requests);
    let before = fleet.quotas.iter().map(Quota::spent).sum::<f64>();
    let (in_transit, reported) = (vec![0.0; 7], vec![0.0; 7]);
    let quota = Quota::new(LIMIT, 0.0, 1.0 / 16.0, fleet.now);
    fleet = Fleet {
        quotas: vec![quota; 7],
        in_transit,
        reported,
        now: fleet.now + ROUND,
    };
    totals.extend(
        fleet
            .run(20, &requests)
            .0
            .iter()
            .map(|spent| spent + before),
    );
    let window = (8.0 / ROUND.as_secs_f64()) as usize;
    let allowed = (LIMIT.rate * 8.0 + 47_000.0) * 1.1 + 190_000.0;
    for at in window..totals.len() {
        let spent = totals[at] - totals[at - window];
        assert!(spent <= allowed, "{spent} in a window, {allowed} allowed");
    }
}

#[test]
fn daemons_without_reports_from_all_peers_take_an_even_share() {
    let now = Instant::now();
    let mut quota = Quota::new(LIMIT, 0.0, 1.0 / 8.0, now);
    assert!(quota.spend(1_000.0, Timeliness::InTime, now).is_err());
    let peers = PeerSpending {
        daemons: 8,
        is_partial: true,
        ..PeerSpending::default()
    };
    quota.apply_peers(&peers, now + ROUND);
    assert!(
        (quota.share() - 1.0 / 8.0).abs() < 1e-9,
        "{}",
        quota.share()
    );
}

#[test]
fn a_request_larger_than_the_bucket_is_served_when_the_bucket_is_full() {
    let now = Instant::now();
    let mut quota = Quota::new(LIMIT, LIMIT.burst, 0.125, now);
    assert!(quota.spend(500_000.0, Timeliness::InTime, now).is_ok());
    let wait = quota
        .spend(1_000.0, Timeliness::InTime, now)
        .expect_err("request admitted although the level is negative");
    assert!(wait > Duration::from_secs(10), "{wait:?}");
}

#[test]
fn daemons_that_restart_do_not_get_a_full_bucket_each_time() {
    let now = Instant::now();
    let mut quota = Quota::new(LIMIT, LIMIT.burst * 0.2, 1.0, now);
    assert!(
        quota
            .spend(LIMIT.burst * 0.2, Timeliness::InTime, now)
            .is_ok()
    );
    assert!(quota.spend(1_000.0, Timeliness::InTime, now).is_err());
}

#[test]
fn a_lower_limit_scales_the_level_down() {
    let now = Instant::now();
    let mut quota = Quota::new(LIMIT, LIMIT.burst, 1.0, now);
    let lower = Limit {
        rate: 470.0,
        burst: 1_040.0,
    };
    quota.configure(lower, now);
    assert!(quota.spend(1_000.0, Timeliness::InTime, now).is_ok());
    assert!(quota.spend(1_000.0, Timeliness::InTime, now).is_err());
}

proptest! {
    /// the shares of all daemons never exceed the limit
    #[test]
    fn shares_add_up_to_the_limit(demands in prop::collection::vec(0.0f64..200_000.0, 2..12)) {
        let mut fleet = Fleet::new(demands.len());
        for (quota, units) in fleet.quotas.iter_mut().zip(&demands) {
            // refused requests count as demand too
            let _ = quota.spend(*units, Timeliness::InTime, fleet.now);
        }
        fleet.exchange();
        let shares: f64 = fleet.quotas.iter().map(Quota::share).sum();
        prop_assert!(shares <= 1.0 + 1e-9, "shares add up to {}", shares);
    }
}

#[test]
fn refunds_restore_the_level_and_leave_no_gap_in_the_total() {
    let now = Instant::now();
    let mut quota = Quota::new(LIMIT, LIMIT.burst * 0.5, 1.0, now);
    let mut ledger = Ledger::new(LIMIT, LIMIT.burst * 0.5, 0.0, now);
    let units = LIMIT.burst * 0.2;
    let mut total = 0.0;
    for _ in 0..20 {
        assert!(quota.spend(units, Timeliness::InTime, now).is_ok());
        assert!(quota.spent() >= total);
        total = quota.spent();
        quota.refund(units, now);
        assert!(
            ledger
                .charge_peer("zone", units, Timeliness::InTime, now)
                .is_ok()
        );
        ledger.refund_peer(units, now);
    }
    assert_eq!(total, units);
    assert_eq!(quota.level(), LIMIT.burst * 0.5);
    assert_eq!(ledger.level(), LIMIT.burst * 0.5);
}

#[test]
fn refund_does_not_raise_the_level_above_the_burst() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMIT, LIMIT.burst, 0.0, now);
    ledger.refund(LIMIT.burst, now);
    assert_eq!(ledger.level(), LIMIT.burst);
}

#[test]
fn spending_beyond_the_grants_is_subtracted_once() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMIT, LIMIT.burst, 0.0, now);
    let units = LIMIT.burst * 0.1;
    assert!(
        ledger
            .charge_peer("zone", units, Timeliness::InTime, now)
            .is_ok()
    );
    ledger.record_reported(units, now);
    assert_eq!(ledger.level(), LIMIT.burst - units);
    ledger.record_reported(units, now);
    assert_eq!(ledger.level(), LIMIT.burst - 2.0 * units);
    ledger.record_reported(0.0, now);
    assert_eq!(ledger.level(), LIMIT.burst - 2.0 * units);
}
