//! Fetching the KV cache of a prompt from a VM that holds it.
//!
//! Load pattern: a few parts of prompts make up much of the traffic, and the VMs that hold them are
//! busy while others are idle. Waiting for a holder, prefilling again at an idle VM and fetching from
//! a holder are compared by the expected time to the first token. A transfer occupies the links of
//! two VMs, is billed, and its copy evicts other parts, so it has to save clearly more than it costs.

use std::time::Duration;

use tokio::time::Instant;

use super::request::Distance;

/// time to set up a transfer
const SETUP: Duration = Duration::from_millis(5);

/// factor of the time between zones of a region
const ZONES_FACTOR: f64 = 2.0;

/// expected time that a transfer has to save, which stands for its bill and for the parts that the
/// copy evicts
pub(super) const MIN_SAVING: Duration = Duration::from_millis(30);

/// how the engines of a service transfer KV caches
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// size of a token's keys and values
    pub token_bytes: u64,
    /// rate of a VM's link
    pub link_bytes_per_s: f64,
}

impl Transfer {
    /// time of a transfer over idle links; none between regions, or if the distance between the two
    /// VMs is not known
    pub(super) fn time(&self, tokens: u32, from: Distance, to: Distance) -> Option<Duration> {
        let factor = match (from, to) {
            (Distance::Link, _) | (_, Distance::Link) => return None,
            (Distance::Zone, Distance::Zone) => 1.0,
            // two VMs of other zones may be in the same zone or not
            _ => ZONES_FACTOR,
        };
        let bytes = u64::from(tokens).saturating_mul(self.token_bytes);
        let seconds = bytes as f64 / self.link_bytes_per_s.max(1.0);
        let transfer = Duration::try_from_secs_f64(seconds).ok()?;
        Some((SETUP + transfer).mul_f64(factor))
    }
}

/// transfers in progress on a VM's link, as far as this daemon has caused them
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Link {
    free_at: Option<Instant>,
}

impl Link {
    /// time until the link is idle
    pub fn wait(&self, now: Instant) -> Duration {
        let free_at = self.free_at.unwrap_or(now);
        free_at.saturating_duration_since(now)
    }

    /// occupies the link until a time
    pub fn occupy(&mut self, until: Instant) {
        self.free_at = self.free_at.max(Some(until));
    }
}
