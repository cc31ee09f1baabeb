//! Periods and time-outs of the membership.

use std::time::Duration;

use rand::Rng;

/// longest time between two probes of the ring's successor
pub const PROBE_PERIOD: Duration = Duration::from_millis(1000);
/// largest random reduction of a period, percent
pub const JITTER_PERCENT: u32 = 20;
/// wait for the response to a direct probe before others are asked to probe
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// wait for the response to indirect probes before the member is suspected
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// members that are asked for an indirect probe
pub const INDIRECT_PROBERS: usize = 3;
/// time that a member suspected by this daemon has to refute
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1000);
/// time between two probes of a suspected member
pub const SUSPECT_PROBE_PERIOD: Duration = Duration::from_millis(200);
/// time after which this daemon itself probes a member that another one suspects; longer than
/// [`SUSPICION_TIMEOUT`], which the other one applies
pub const REMOTE_SUSPECT_PROBE_DELAY: Duration = Duration::from_millis(1500);
/// time after which a member that another one suspects is marked as gone
pub const REMOTE_SUSPICION_TIMEOUT: Duration = Duration::from_millis(2500);
/// time between two calls of [`crate::gossip::Core::tick`]
pub const TICK: Duration = Duration::from_millis(50);
/// gap between two ticks that counts as a pause of this process
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// time for which the record of a member that is gone is kept
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// time between two attempts to reach a seed or a member that is gone
pub const REJOIN_PERIOD: Duration = Duration::from_secs(2);

/// as [`REJOIN_PERIOD`], while this daemon starts
pub const JOIN_PERIOD: Duration = Duration::from_millis(200);
/// time after the start for which [`JOIN_PERIOD`] applies
pub const STARTUP_TIME: Duration = Duration::from_secs(5);

/// the period, shortened at random by up to [`JITTER_PERCENT`]
pub fn jittered(period: Duration, random: &mut impl Rng) -> Duration {
    let spread = period * JITTER_PERCENT / 100;
    period - spread.mul_f64(random.random::<f64>())
}
