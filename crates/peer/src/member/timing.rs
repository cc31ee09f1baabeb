//! Periods and time-outs of the membership.

use std::time::Duration;

use rand::Rng;

/// longest time between two probes of the ring's successor
pub const PERIOD: Duration = Duration::from_millis(1000);
/// share of a period, percent, that is left to chance
pub const JITTER_PERCENT: u32 = 20;
/// wait for a direct answer before others are asked
pub const DIRECT: Duration = Duration::from_millis(250);
/// wait for others to reach the member before it is suspected
pub const INDIRECT: Duration = Duration::from_millis(250);
/// members asked to probe a third one
pub const HELPERS: usize = 3;
/// time that a suspected member has to refute
pub const SUSPICION: Duration = Duration::from_millis(1000);
/// time between two probes of a suspected member
pub const VERIFY: Duration = Duration::from_millis(200);
/// time after which a suspicion heard from another member is verified
pub const HEARD_VERIFY: Duration = Duration::from_millis(1500);
/// time after which a suspicion heard from another member becomes a belief
pub const HEARD: Duration = Duration::from_millis(2500);
/// time between two calls of [`crate::gossip::Core::tick`]
pub const TICK: Duration = Duration::from_millis(50);
/// a gap between ticks from which on this process was paused itself
pub const STALL: Duration = Duration::from_millis(300);
/// time for which a member that is gone is remembered
pub const GONE_KEPT: Duration = Duration::from_secs(600);
/// time between two attempts to reach a seed or a member that is gone
pub const REJOIN: Duration = Duration::from_secs(2);

/// time between two such attempts of a daemon that starts
pub const JOIN: Duration = Duration::from_millis(200);
/// time for which a daemon counts as starting
pub const STARTING: Duration = Duration::from_secs(5);

/// a period less a random part of up to [`JITTER_PERCENT`]
pub fn jittered(period: Duration, random: &mut impl Rng) -> Duration {
    let spread = period * JITTER_PERCENT / 100;
    period - spread.mul_f64(random.random::<f64>())
}
