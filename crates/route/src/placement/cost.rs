//! Selection cost of a VM in addition to its expected time, and the decision to accept a
//! request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::Timing;
use super::request::{Choice, Distance, Full, Pick, Request, TimeLimit};

/// bonus of the preferred VM, as a fraction of the prefill time of the shared tokens: other
/// daemons send the prompt there as well, and report it later
const PREFERENCE_FRACTION: f64 = 0.9;

/// cost of a VM in another zone of the region, as time
const REGION_PENALTY: Duration = Duration::from_millis(2);

/// cost of a VM across the link between regions, as time: round trip and transfer
const LINK_PENALTY: Duration = Duration::from_millis(70);

/// shortest retry delay given to a refused caller
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// difference in expected time within which VMs count as equivalent: about the prefill time of
/// a prompt of usual length, which peers may have sent there without having reported it yet
const SPREAD: Duration = Duration::from_millis(60);

/// VM that rendezvous hashing assigns to a prompt's shared parts, and the bonus it gets
#[derive(Debug, Clone, Copy)]
pub(super) struct PreferredVm<'a> {
    pub id: &'a str,
    pub bonus: Duration,
}

/// accepts a request unless it is expected to take too long
pub(super) fn admit(pick: Pick, time_limit: TimeLimit) -> Choice {
    let wait = pick.expected.saturating_sub(pick.unloaded);
    if pick.expected <= time_limit.total || wait <= time_limit.queueing {
        return Choice::Send(pick);
    }
    Choice::Full(Full {
        available_in: (pick.expected - time_limit.total).max(MIN_RETRY_AFTER),
        expected: pick.expected,
        id: pick.id,
    })
}

/// refuses a request as no VM accepts one at the moment
pub(super) fn full(id: &str, available_in: Duration, request: &Request<'_>) -> Choice {
    Choice::Full(Full {
        available_in: available_in.max(MIN_RETRY_AFTER) + jitter(id, request),
        expected: Duration::ZERO,
        id: id.to_owned(),
    })
}

/// finds the preferred VM of a prompt: the one with the highest hash for its last shared part
pub(super) fn preferred_vm<'a>(
    ids: impl Iterator<Item = &'a str>,
    request: &Request<'_>,
    timing: &Timing,
) -> Option<PreferredVm<'a>> {
    let (_, shared) = request.parts.split_last()?;
    let (part, _) = shared.last()?;
    let id = ids.max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), *part))?;
    Some(PreferredVm {
        id,
        bonus: timing
            .prefill_time(u64::from(tokens(shared)))
            .mul_f64(PREFERENCE_FRACTION),
    })
}

pub(super) fn tokens(parts: &[(u64, u32)]) -> u32 {
    parts.iter().map(|(_, tokens)| tokens).sum()
}

/// cost of the network distance to a VM, as time
pub(super) fn distance_penalty(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_PENALTY,
        Distance::Link => LINK_PENALTY,
    }
}

/// pseudo-random time below [`SPREAD`] for a request and a VM, which spreads requests over
/// nearly equivalent VMs
pub(super) fn jitter(id: &str, request: &Request<'_>) -> Duration {
    let draw = xxh3_64_with_seed(id.as_bytes(), request.draw);
    SPREAD.mul_f64(draw as f64 / u64::MAX as f64)
}
