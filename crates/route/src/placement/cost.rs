//! Selection cost of a VM in addition to its expected time, and the refusal of a request.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::Timing;
use super::request::{Choice, Distance, Full, Request, TimeLimit};

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
pub(super) const SPREAD: Duration = Duration::from_millis(60);

/// prompt tokens whose prefill time is no reason to prefer a VM
const EQUIVALENT_TOKENS: u64 = 2000;

/// what peers have sent to a VM since their last reports, in multiples of what VMs had waiting: with
/// 0.5, a tenth of the requests is late where 1 and 2 leave under a fiftieth (`tests/admission`)
const BACKLOG_FACTOR: f64 = 1.5;

/// longest addition to [`SPREAD`] for that: objectives are no longer
const MAX_MORE_SPREAD: Duration = Duration::from_millis(600);

/// VM that rendezvous hashing assigns to a prompt's shared parts, and the bonus it gets
#[derive(Debug, Clone, Copy)]
pub(super) struct PreferredVm<'a> {
    pub id: &'a str,
    pub bonus: Duration,
}

/// refusal of a request for which this VM is expected to respond first
pub(super) fn full(id: &str, expected: Duration, time_limit: TimeLimit) -> Full {
    Full {
        available_in: expected
            .saturating_sub(time_limit.longest())
            .max(MIN_RETRY_AFTER),
        expected,
        is_stated: false,
        id: id.to_owned(),
    }
}

/// refusal of a request as no VM accepts one at the moment; `is_stated` if a VM said for how long
pub(super) fn closed(
    request: &Request<'_>,
    id: &str,
    available_in: Duration,
    is_stated: bool,
) -> Choice {
    Choice::Full(Full {
        available_in: available_in.max(MIN_RETRY_AFTER) + jitter(id, request, SPREAD),
        expected: Duration::ZERO,
        is_stated,
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

/// difference in expected time within which VMs count as equivalent for a request
///
/// Load pattern: a region has lost VMs, and many daemons send what the rest can't serve. What they
/// have sent to a VM since their last reports is unknown, and is about as much as VMs have waiting
/// on average (`peer_backlog` tokens). With a fixed difference all daemons use the same VMs until
/// the next report, and requests are late at two fifths of the capacity. A prompt of which other
/// requests share the most stays with the VMs that hold it.
pub(super) fn spread(request: &Request<'_>, peer_backlog: u64, timing: &Timing) -> Duration {
    let unshared = request.parts.last().map_or(0, |(_, tokens)| *tokens);
    let unshared = f64::from(unshared) / f64::from(request.prompt_tokens.max(1));
    let unknown = timing.prefill_time(peer_backlog).mul_f64(BACKLOG_FACTOR);
    let more = unknown.saturating_sub(SPREAD).min(MAX_MORE_SPREAD);
    SPREAD + more.mul_f64(unshared.min(1.0))
}

/// pseudo-random time below the spread for a request and a VM, which distributes requests over
/// nearly equivalent VMs
pub(super) fn jitter(id: &str, request: &Request<'_>, spread: Duration) -> Duration {
    let draw = xxh3_64_with_seed(id.as_bytes(), request.draw);
    spread.mul_f64(draw as f64 / u64::MAX as f64)
}

/// order of a VM among those of equivalent cost: a VM comes first with a probability in proportion to
/// its room, independently for each request
pub(super) fn order(id: &str, request: &Request<'_>, room: Duration) -> f64 {
    let draw = xxh3_64_with_seed(id.as_bytes(), request.draw);
    let uniform = (draw as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / room.as_secs_f64()
}

/// number from 0 to 1 that decides whether a request leaves its region
pub(super) fn spill_draw(request: &Request<'_>) -> f64 {
    xxh3_64_with_seed(b"region", request.draw) as f64 / u64::MAX as f64
}

/// difference in cost within which VMs are equivalent where the reported loads are old: smaller than
/// what a held prompt of usual length saves
pub(super) fn tolerance(timing: &Timing) -> Duration {
    timing.prefill_time(EQUIVALENT_TOKENS)
}
