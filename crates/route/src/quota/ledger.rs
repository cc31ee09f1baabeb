use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{LARGE_REQUEST_FRACTION, Limit, MIN_RETRY_AFTER, RESERVED_FRACTION, Timeliness};

/// time constant of the refused units that callers are expected to request again
const REFUSED_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// time without a charge after which the level is compared with the reported one: another daemon
/// may have owned the limit meanwhile
const OWNERSHIP_PAUSE: Duration = Duration::from_secs(2);

/// interval at which a ledger in use is copied to the deputy of its owner
const COPY_INTERVAL: Duration = Duration::from_millis(200);

/// time constant of the rate at which a zone is granted units
const ZONE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// time without a charge after which a zone is assumed to be cut off and to spend its shares, and
/// for how long: by then, the reports state what it spends
const ZONE_SILENCE: Duration = Duration::from_millis(700);
const MAX_ASSUMED_TIME: Duration = Duration::from_secs(10);

/// account of a limit at the daemon that decides for all others
///
/// Load patterns: the traffic of a workspace jumps to a multiple of its limit at hundreds of
/// daemons at once, before any of them hears of the others; a workspace stays below its limit, but
/// a daemon's share of the limit is smaller than one request. A zone that is cut off goes on to
/// spend its part, which is missing for the others at once.
#[derive(Debug, Clone)]
pub struct Ledger {
    limit: Limit,
    level: f64,
    updated_at: Instant,
    charged_at: Instant,
    copied_at: Option<Instant>,
    /// units granted to other daemons or assumed to be spent by them
    granted: f64,
    /// units that other daemons reported as spent since then
    reported: f64,
    /// units refused, decaying
    refused: f64,
    /// other daemons' zones by name
    zones: HashMap<String, Zone>,
    /// units granted by this ledger since it was opened
    total: f64,
    /// the same of other daemons' ledgers, by the daemon's name, at their last copy
    copied_totals: HashMap<String, f64>,
}

/// what the deputy of an owner has to know of a ledger
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copied {
    /// units that may be granted
    pub level: f64,
    /// units granted to daemons that have not reported them yet
    pub unreported: f64,
    /// units granted since the ledger was opened, those of refunded requests included
    pub total: f64,
}

/// charges of the daemons of a zone
#[derive(Debug, Clone)]
struct Zone {
    /// units granted per second
    rate: f64,
    charged_at: Instant,
}

impl Zone {
    /// time until `now`, from `since`, for which the zone is assumed to spend without a charge
    fn silence(&self, since: Instant, now: Instant) -> Duration {
        let from = since.max(self.charged_at + ZONE_SILENCE);
        let to = now.min(self.charged_at + MAX_ASSUMED_TIME);
        to.saturating_duration_since(from)
    }

    fn record(&mut self, units: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.charged_at).as_secs_f64();
        let constant = ZONE_TIME_CONSTANT.as_secs_f64();
        self.rate = self.rate * (-passed / constant).exp() + units / constant;
        self.charged_at = now;
    }
}

impl Ledger {
    /// opens a ledger at a level from which units that other daemons have not reported yet, but are
    /// assumed to have spent, are subtracted already
    pub fn new(limit: Limit, level: f64, assumed: f64, now: Instant) -> Ledger {
        Ledger {
            limit,
            level,
            updated_at: now,
            charged_at: now,
            copied_at: None,
            granted: assumed,
            reported: 0.0,
            refused: 0.0,
            zones: HashMap::new(),
            total: 0.0,
            copied_totals: HashMap::new(),
        }
    }

    /// applies a changed limit; the level stays below a smaller burst
    pub fn configure(&mut self, limit: Limit, now: Instant) {
        if limit == self.limit {
            return;
        }
        self.advance(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// the state to copy to the deputy, if that is due
    pub fn copy(&mut self, now: Instant) -> Option<Copied> {
        if self.copied_at.is_some_and(|at| now < at + COPY_INTERVAL) {
            return None;
        }
        self.advance(now);
        self.copied_at = Some(now);
        Some(Copied {
            level: self.level,
            unreported: self.granted - self.reported,
            total: self.total,
        })
    }

    /// takes over a copy of another daemon's ledger; while this daemon decides itself, only what the other
    /// one has granted
    pub fn restore(&mut self, from: &str, copied: Copied, now: Instant) {
        self.advance(now);
        if now > self.charged_at + OWNERSHIP_PAUSE {
            self.level = copied.level;
            self.granted = self.reported + copied.unreported;
        } else {
            // both decide at the moment: the level is lowered by what the other has granted since its last
            // copy, which counts as granted here, so that reports do not lower the level again
            let before = self.copied_totals.get(from).copied();
            let granted = match before {
                Some(before) if copied.total >= before => copied.total - before,
                _ => (self.level - copied.level).max(0.0),
            };
            self.level -= granted;
            self.granted += granted;
        }
        self.copied_totals.insert(from.to_owned(), copied.total);
    }

    /// lowers the level to the one known from reports if nothing was charged for a while
    pub fn resume(&mut self, reported_level: f64, now: Instant) {
        self.advance(now);
        if now > self.charged_at + OWNERSHIP_PAUSE {
            self.level = self.level.min(reported_level);
        }
    }

    /// charges a request of this daemon
    ///
    /// # Errors
    /// Returns the time until enough units are expected to be available, those that were refused
    /// before included.
    pub fn charge(
        &mut self,
        units: f64,
        timeliness: Timeliness,
        now: Instant,
    ) -> Result<(), Duration> {
        self.advance(now);
        self.charged_at = now;
        // a request that is larger than the burst is admitted as well; later ones wait longer
        let needed = units.min(LARGE_REQUEST_FRACTION * self.limit.burst);
        let needed = match timeliness {
            Timeliness::InTime => needed,
            Timeliness::Late => needed + RESERVED_FRACTION * self.limit.burst,
        };
        if needed <= self.level {
            self.level -= units;
            self.total += units;
            return Ok(());
        }
        let missing = needed - self.level + self.refused;
        self.refused += units;
        let rate = self.limit.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        Err(wait.max(MIN_RETRY_AFTER))
    }

    /// records units that a daemon refused on the strength of an earlier refusal
    pub fn record_refused(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.refused += units;
    }

    /// charges a request of another daemon of a zone
    ///
    /// # Errors
    /// As [`Ledger::charge`].
    pub fn charge_peer(
        &mut self,
        zone: &str,
        units: f64,
        timeliness: Timeliness,
        now: Instant,
    ) -> Result<(), Duration> {
        let charged = self.charge(units, timeliness, now);
        let granted = if charged.is_ok() { units } else { 0.0 };
        self.granted += granted;
        match self.zones.get_mut(zone) {
            Some(zone) => zone.record(granted, now),
            None => {
                let rate = granted / ZONE_TIME_CONSTANT.as_secs_f64();
                let charged_at = now;
                self.zones
                    .insert(zone.to_owned(), Zone { rate, charged_at });
            }
        }
        charged
    }

    /// gives back the units of a request of this daemon that did not run
    pub fn refund(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.level = (self.level + units).min(self.limit.burst);
    }

    /// gives back the units of a request of another daemon that did not run
    pub fn refund_peer(&mut self, units: f64, now: Instant) {
        self.refund(units, now);
        self.granted -= units;
    }

    /// subtracts what other daemons are reported to have spent beyond the grants: they spend their
    /// shares while they do not reach this daemon
    pub fn record_reported(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.reported += units;
        let beyond = self.reported - self.granted;
        if beyond > 0.0 {
            self.granted = self.reported;
            self.level = (self.level - beyond).max(-self.limit.burst);
        }
    }

    /// units that may be granted now
    pub fn level(&self) -> f64 {
        self.level
    }

    fn advance(&mut self, now: Instant) {
        let since = self.updated_at;
        let passed = now.saturating_duration_since(since).as_secs_f64();
        let assumed = |zone: &Zone| zone.rate * zone.silence(since, now).as_secs_f64();
        let assumed: f64 = self.zones.values().map(assumed).sum();
        self.granted += assumed;
        self.level -= assumed;
        self.level = (self.level + self.limit.rate * passed).min(self.limit.burst);
        self.refused *= (-passed / REFUSED_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }
}
