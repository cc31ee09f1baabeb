//! When which fault strikes: alone, together and twice, with quiet times between.

use std::fmt;
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::value;

/// time without faults at the start and at the end
const MARGIN: Duration = Duration::from_secs(5);

/// shortest and longest fault, milliseconds
const FAULT_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;

/// shortest and longest quiet time between faults, milliseconds
const QUIET_MS: std::ops::RangeInclusive<u64> = 2_000..=4_000;

/// notice of a reclaim
const NOTICE: Duration = Duration::from_secs(5);

/// time between the two strikes of a fault that comes twice
const TWICE_AFTER: Duration = Duration::from_millis(1_500);

/// a kind of fault
#[apply(value!)]
pub enum FaultKind {
    /// a daemon dies without notice and starts anew
    KillDaemon,
    /// a daemon's process is held still
    FreezeDaemon,
    /// a daemon is asked to stop and starts anew
    StopDaemon,
    /// a daemon's VM is reclaimed
    ReclaimDaemon,
    /// an engine's VM is reclaimed
    ReclaimEngine,
    /// all engines of a data centre are reclaimed
    ReclaimCentre,
    /// an engine's open connections go silent for good
    SilentEngine,
    /// an engine takes no step
    StallEngine,
    /// the object API is out
    StoreOutage,
    /// the object API is slow
    StoreSlow,
    /// changes of the object API take effect without an answer
    StoreLost,
    /// reads of the object API are stale
    StoreStale,
    /// watches of the object API carry nothing
    StoreSilent,
    /// a data centre, or the far region, is cut off from the platform
    CutPlatform,
    /// the cloud starts no VM
    RefuseStarts,
    /// operators change the configuration at the same time
    RaceOperators,
}

/// all kinds
pub const KINDS: [FaultKind; 16] = [
    FaultKind::KillDaemon,
    FaultKind::FreezeDaemon,
    FaultKind::StopDaemon,
    FaultKind::ReclaimDaemon,
    FaultKind::ReclaimEngine,
    FaultKind::ReclaimCentre,
    FaultKind::SilentEngine,
    FaultKind::StallEngine,
    FaultKind::StoreOutage,
    FaultKind::StoreSlow,
    FaultKind::StoreLost,
    FaultKind::StoreStale,
    FaultKind::StoreSilent,
    FaultKind::CutPlatform,
    FaultKind::RefuseStarts,
    FaultKind::RaceOperators,
];

/// one fault
#[apply(value!)]
pub struct Event {
    /// what it is
    pub kind: FaultKind,
    /// chooses whom it strikes
    pub target: usize,
    /// when it strikes, from the start of the load
    pub at: Duration,
    /// how long it lasts
    pub length: Duration,
}

/// the faults of a run of this length
pub fn schedule(seed: u64, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut deck = Vec::new();
    let mut events = Vec::new();
    let mut at = MARGIN;
    loop {
        let group = group(&mut random, &mut deck, at);
        let end = group.iter().map(Event::end).max().unwrap_or(at);
        if end + MARGIN > length {
            return events;
        }
        events.extend(group);
        at = end + Duration::from_millis(random.random_range(QUIET_MS));
    }
}

/// faults that strike together
fn group(random: &mut ChaCha8Rng, deck: &mut Vec<FaultKind>, at: Duration) -> Vec<Event> {
    let first = event(random, deck, at);
    match random.random_range(0..10) {
        0..4 => vec![first],
        4..8 => vec![first, event(random, deck, at)],
        _ => {
            let again = Event {
                at: at + TWICE_AFTER,
                target: first.target + 1,
                ..first
            };
            vec![first, again]
        }
    }
}

fn event(random: &mut ChaCha8Rng, deck: &mut Vec<FaultKind>, at: Duration) -> Event {
    if deck.is_empty() {
        deck.extend(KINDS);
        deck.shuffle(random);
    }
    let kind = deck.pop().unwrap_or(FaultKind::KillDaemon);
    let millis = random.random_range(FAULT_MS);
    Event {
        kind,
        target: random.random_range(0..1_000),
        at,
        length: kind.length(Duration::from_millis(millis)),
    }
}

impl Event {
    fn end(&self) -> Duration {
        self.at + self.length
    }
}

impl FaultKind {
    /// a reclaim lasts as long as its notice
    fn length(self, drawn: Duration) -> Duration {
        match self {
            FaultKind::ReclaimDaemon
            | FaultKind::ReclaimEngine
            | FaultKind::ReclaimCentre
            | FaultKind::RefuseStarts => NOTICE,
            _ => drawn,
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            FaultKind::KillDaemon => "daemon killed",
            FaultKind::FreezeDaemon => "daemon frozen",
            FaultKind::StopDaemon => "daemon stopped",
            FaultKind::ReclaimDaemon => "daemon reclaimed",
            FaultKind::ReclaimEngine => "engine reclaimed",
            FaultKind::ReclaimCentre => "data centre reclaimed",
            FaultKind::SilentEngine => "engine streams silent",
            FaultKind::StallEngine => "engine stalled",
            FaultKind::StoreOutage => "object API out",
            FaultKind::StoreSlow => "object API slow",
            FaultKind::StoreLost => "object API loses answers",
            FaultKind::StoreStale => "object API stale",
            FaultKind::StoreSilent => "watches silent",
            FaultKind::CutPlatform => "cut off from the platform",
            FaultKind::RefuseStarts => "starts refused",
            FaultKind::RaceOperators => "operators race",
        };
        f.pad(text)
    }
}
