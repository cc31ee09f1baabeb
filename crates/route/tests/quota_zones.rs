//! A limit shared by daemons of several zones, whose reports take seconds to reach other zones.
//!
//! Replays the load under which a workspace exceeded its limit on deployments of 65 to 85 daemons:
//! its traffic jumps to a multiple of its limit everywhere at once. Daemons ask the limit's owner,
//! and spend their shares while it is lost or they are cut off from it.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::quota::{Copied, Ledger, Limit, PeerSpending, Quota, Timeliness};
use tokio::time::Instant;

const ZONES: usize = 6;
const PER_ZONE: usize = 14;
const DAEMONS: usize = ZONES * PER_ZONE;

/// interval between two reports of a daemon to each peer of its zone
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);

/// simulated step
const STEP: Duration = Duration::from_millis(100);

/// steps until spending is known in the zone, and in other zones
const ZONE_DELAY: usize = 12;
const REMOTE_DELAY: usize = 36;

/// steps without a report after which a daemon is assumed to spend what it last requested
const REPORT_TIMEOUT: usize = 20;

/// limit that the deployment states, per second and at once, and what may be spent beyond it
const RATE: f64 = 480_000.0;
const BURST: f64 = 560_000.0;
const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// smallest and largest size of a request
const SIZES: std::ops::Range<f64> = 800.0..26_000.0;

struct Daemon {
    quota: Quota,
    /// units spent up to each step
    spent: Vec<f64>,
    demand: Vec<f64>,
    applied: f64,
    next_report: usize,
}

impl Daemon {
    /// charges a request to the owner's ledger, or else to this daemon's share
    fn charge(
        &mut self,
        ledger: Option<&mut Ledger>,
        zone: usize,
        units: f64,
        now: Instant,
    ) -> bool {
        let Some(ledger) = ledger else {
            return self.quota.spend(units, Timeliness::InTime, now).is_ok();
        };
        if self
            .quota
            .known_refusal(units, Timeliness::InTime, now)
            .is_some()
        {
            return false;
        }
        let charged = ledger.charge_peer(&zone.to_string(), units, Timeliness::InTime, now);
        match charged {
            Ok(()) => self.quota.record_spent(units, now),
            Err(wait) => self
                .quota
                .record_refused((units, Timeliness::InTime), wait, DAEMONS, now),
        }
        charged.is_ok()
    }
}

struct Fleet {
    daemons: Vec<Daemon>,
    /// the limit's owner and its ledger; none while it is lost
    owner: Option<(usize, Ledger)>,
    /// the last copy of it that its deputy has
    copied: Option<Copied>,
    /// step since which the daemons of the first zone reach no other zone
    cut_at: Option<usize>,
    /// ledger that these daemons charge, once they have noticed the cut
    cut_ledger: Option<Ledger>,
    rng: ChaCha8Rng,
    now: Instant,
    step: usize,
    refused: f64,
    offered: f64,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let now = Instant::now();
        // half of the tolerance is added to the rate, as the gateway does
        let tolerance = (RATE * WINDOW.as_secs_f64() + BURST) * TOLERANCE + SLACK;
        let limit = Limit {
            rate: RATE + tolerance / 2.0 / WINDOW.as_secs_f64(),
            burst: BURST,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut daemons = Vec::new();
        for _ in 0..DAEMONS {
            daemons.push(Daemon {
                quota: Quota::new(limit, BURST, 1.0 / DAEMONS as f64, now),
                spent: vec![0.0],
                demand: vec![0.0],
                applied: 0.0,
                next_report: rng.random_range(0..12),
            });
        }
        let owner = DAEMONS - 1;
        Fleet {
            copied: None,
            owner: Some((owner, Ledger::new(limit, BURST, 0.0, now))),
            cut_at: None,
            cut_ledger: None,
            daemons,
            rng,
            now,
            step: 0,
            refused: 0.0,
            offered: 0.0,
        }
    }

    /// lets callers request a multiple of the stated rate for a time
    fn run(&mut self, load: f64, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        let mean = f64::midpoint(SIZES.start, SIZES.end);
        let per_step = load * RATE * STEP.as_secs_f64() / mean / DAEMONS as f64;
        for _ in 0..steps {
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                let reaches_owner = !(self.cut_at.is_some() && index < PER_ZONE);
                let mut ledger = if reaches_owner {
                    self.owner.as_mut().map(|(_, ledger)| ledger)
                } else {
                    self.cut_ledger.as_mut()
                };
                let mut left = per_step;
                while self.rng.random::<f64>() < left {
                    left -= 1.0;
                    let units = self.rng.random_range(SIZES);
                    self.offered += units;
                    if !daemon.charge(ledger.as_deref_mut(), index / PER_ZONE, units, self.now) {
                        self.refused += units;
                    }
                }
                daemon.spent.push(daemon.quota.spent());
                daemon.demand.push(daemon.quota.demand(self.now));
            }
            if let Some(copied) = self
                .owner
                .as_mut()
                .and_then(|(_, owner)| owner.copy(self.now))
            {
                self.copied = Some(copied);
            }
            self.step += 1;
            self.now += STEP;
            for index in 0..DAEMONS {
                if self.step >= self.daemons[index].next_report {
                    self.report(index);
                }
            }
        }
    }

    /// applies what a daemon knows of its peers
    fn report(&mut self, index: usize) {
        let (mut spent, mut assumed, mut demand) = (0.0, 0.0, 0.0);
        for (other, daemon) in self.daemons.iter().enumerate() {
            if other == index {
                continue;
            }
            let is_local = other / PER_ZONE == index / PER_ZONE;
            let delay = if is_local { ZONE_DELAY } else { REMOTE_DELAY };
            let mut at = self.step.saturating_sub(delay);
            let is_cut = (other < PER_ZONE) != (index < PER_ZONE);
            if let Some(cut_at) = self.cut_at.filter(|_| is_cut) {
                at = at.min(cut_at);
                let is_silent = self.step > cut_at + delay + REPORT_TIMEOUT;
                // the demand last heard of, for the time since the previous report
                let interval = REPORT_INTERVAL.as_secs_f64();
                assumed += if is_silent {
                    daemon.demand[at] * interval
                } else {
                    0.0
                };
            }
            spent += daemon.spent[at];
            demand += daemon.demand[at];
        }
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let peers = PeerSpending {
            spent: (spent - daemon.applied).max(0.0) + assumed,
            demand,
            daemons: DAEMONS,
            is_partial: false,
        };
        daemon.quota.apply_peers(&peers, now);
        daemon.applied = daemon.applied.max(spent);
        if let Some((_, ledger)) = self.owner.as_mut().filter(|(owner, _)| *owner == index) {
            ledger.record_reported(peers.spent, now);
        }
        let interval = REPORT_INTERVAL.as_millis() / STEP.as_millis();
        daemon.next_report = self.step + interval as usize;
    }

    /// loses the owner; the next one opens its ledger after a time, in which shares are spent
    fn replace_owner(&mut self, load: f64, time: Duration) {
        let (lost, _) = self.owner.take().expect("an owner");
        self.run(load, time);
        let next = lost - 1;
        let quota = &self.daemons[next].quota;
        let ledger = match self.copied.take() {
            Some(copied) => Ledger::new(quota.limit(), copied.level, copied.unreported, self.now),
            None => {
                let assumed = quota.assumed_peer_spent();
                Ledger::new(quota.limit(), quota.level(), assumed, self.now)
            }
        };
        self.owner = Some((next, ledger));
    }

    fn assert_within_limit(&self, case: &str) {
        let (worst, allowed) = (self.worst_window(), allowed());
        let share = worst / allowed;
        assert!(
            share <= 1.0,
            "{case}: {worst:.0} of {allowed:.0} ({share:.3})"
        );
    }

    /// most units spent in a window
    fn worst_window(&self) -> f64 {
        let total =
            |step: usize| -> f64 { self.daemons.iter().map(|daemon| daemon.spent[step]).sum() };
        let totals: VecDeque<f64> = (0..=self.step).map(total).collect();
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let windows = (steps..=self.step).map(|at| totals[at] - totals[at - steps]);
        windows.fold(0.0, f64::max)
    }
}

/// the deployment's bound on a window
fn allowed() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + TOLERANCE) + SLACK
}

#[test]
fn jump_of_the_traffic_keeps_to_the_limit() {
    for seed in 0..10 {
        for load in [1.6, 3.0, 8.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(0.5, Duration::from_secs(12));
            fleet.run(load, Duration::from_secs(16));
            fleet.assert_within_limit(&format!("seed {seed}, load {load}"));
        }
    }
}

#[test]
fn workspace_below_its_limit_is_hardly_refused() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.85, Duration::from_secs(40));
        let share = fleet.refused / fleet.offered;
        assert!(share < 0.01, "seed {seed}: {share:.4} refused");
    }
}

#[test]
fn loss_of_the_owner_keeps_to_the_limit() {
    for seed in 0..10 {
        for load in [0.85, 1.6, 3.0, 8.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(load, Duration::from_secs(12));
            fleet.replace_owner(load, Duration::from_secs(3));
            fleet.run(load, Duration::from_secs(12));
            fleet.replace_owner(load, Duration::from_millis(200));
            fleet.run(load, Duration::from_secs(12));
            fleet.assert_within_limit(&format!("seed {seed}, load {load}"));
        }
    }
}

/// a request that the owner does not answer is decided by the deputy, from a copy that is up to 0.2 s
/// old; no shares are spent meanwhile
#[test]
fn jump_with_a_loss_of_the_owner_keeps_to_the_limit() {
    for seed in 0..10 {
        for load in [1.6, 3.0, 8.0] {
            for lost_after in [300, 1000, 2000] {
                let mut fleet = Fleet::new(seed);
                fleet.run(0.5, Duration::from_secs(12));
                fleet.run(load, Duration::from_millis(lost_after));
                fleet.replace_owner(load, Duration::ZERO);
                fleet.run(load, Duration::from_secs(16));
                let case = format!("seed {seed}, load {load}, owner lost after {lost_after} ms");
                fleet.assert_within_limit(&case);
            }
        }
    }
}

#[test]
fn workspace_below_its_limit_is_hardly_refused_when_the_owner_is_lost() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        fleet.run(0.85, Duration::from_secs(12));
        for _ in 0..3 {
            fleet.replace_owner(0.85, Duration::from_millis(200));
            fleet.run(0.85, Duration::from_secs(9));
        }
        let share = fleet.refused / fleet.offered;
        assert!(share < 0.01, "seed {seed}: {share:.4} refused");
    }
}

#[test]
fn cut_zone_keeps_to_the_limit_and_is_served() {
    for seed in 0..10 {
        for load in [0.85, 1.6, 3.0] {
            let mut fleet = Fleet::new(seed);
            fleet.run(load, Duration::from_secs(12));
            let served = |fleet: &Fleet| -> f64 {
                let zone = &fleet.daemons[..PER_ZONE];
                zone.iter().map(|daemon| daemon.quota.spent()).sum()
            };
            let before = served(&fleet);
            fleet.cut_at = Some(fleet.step);
            fleet.run(load, Duration::from_secs(3));
            let quota = &fleet.daemons[0].quota;
            let part = 1.0 / ZONES as f64;
            let (level, assumed) = (quota.level() * part, quota.assumed_peer_spent() * part);
            let ledger = Ledger::new(quota.limit().part(part), level, assumed, fleet.now);
            fleet.cut_ledger = Some(ledger);
            fleet.run(load, Duration::from_secs(7));
            let share = (served(&fleet) - before) / (RATE * 10.0 / ZONES as f64);
            assert!(
                share > 0.5,
                "seed {seed}, load {load}: {share:.2} of its part"
            );
            fleet.cut_at = None;
            fleet.cut_ledger = None;
            fleet.run(load, Duration::from_secs(16));
            fleet.assert_within_limit(&format!("seed {seed}, load {load}"));
        }
    }
}
