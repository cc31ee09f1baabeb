//! Migration of streams off an upstream VM that received a preemption notice.
//!
//! A stream near its end finishes on its VM. Otherwise its KV cache is exported to the
//! successor, if the export fits into the time that is left and is faster than a prefill
//! there. Failing that, it resumes on another VM with its prompt and generated tokens as
//! the prefix. The streams of one VM are distributed over several successors, so that none is
//! overloaded.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// safety margin before the VM is reclaimed
const PREEMPTION_MARGIN: Duration = Duration::from_secs(2);

/// setup time of an export, in addition to the transfer
const EXPORT_SETUP: Duration = Duration::from_millis(200);

/// longest export, as a fraction of the usable time until the VM is reclaimed
const MAX_EXPORT_FRACTION: f64 = 0.8;

/// steps that a stream without a free slot is assumed to wait per stream above the slots
const QUEUE_STEPS: u32 = 16;

/// a stream in progress
#[apply(value!)]
pub struct Stream {
    /// tokens generated so far
    pub generated_tokens: u32,
    /// estimated tokens still to be generated
    pub remaining_tokens: u32,
    /// duration of one decode step
    pub step: Duration,
}

/// KV cache of a stream
#[apply(value!)]
pub struct Kv {
    /// size, bytes
    pub bytes: u64,
    /// rate at which this stream's cache can be exported, bytes per second
    pub bytes_per_second: u64,
    /// tokens it holds
    pub tokens: u32,
}

/// candidate VM for a migrated stream
#[apply(value!)]
pub struct Successor {
    /// estimated queueing time there
    pub queue: Duration,
    /// time to prefill one token there
    pub prefill: Duration,
    /// duration of one decode step there
    pub step: Duration,
    /// streams it can run concurrently
    pub slots: u32,
    /// streams it is running
    pub streams: u32,
    /// whether a stream would cross the link between regions
    pub crosses_link: bool,
}

/// how a stream is migrated
#[apply(value!)]
pub enum Plan {
    /// it finishes before the VM is reclaimed
    Finish,
    /// its KV cache moves to the successor
    Export,
    /// it resumes on another VM from its prompt and generated tokens
    Resume,
}

/// plans the migration of one stream; `time_left` is the time until the VM is reclaimed
pub fn plan(stream: &Stream, time_left: Duration, kv: &Kv, successor: &Successor) -> Plan {
    let usable = time_left.saturating_sub(PREEMPTION_MARGIN);
    if stream.step * stream.remaining_tokens <= usable {
        return Plan::Finish;
    }
    if successor.crosses_link || kv.bytes_per_second == 0 {
        return Plan::Resume;
    }
    let export = export_time(kv);
    let prefill = successor.prefill * kv.tokens;
    if export <= usable.mul_f64(MAX_EXPORT_FRACTION) && export < prefill {
        return Plan::Export;
    }
    Plan::Resume
}

/// returns the time to move a KV cache
pub fn export_time(kv: &Kv) -> Duration {
    let seconds = kv.bytes as f64 / kv.bytes_per_second.max(1) as f64;
    EXPORT_SETUP.saturating_add(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// assigns each stream the index of a successor; empty if there are no successors
///
/// `prefill_tokens` holds the tokens to prefill for each stream if it moves.
pub fn assign(prefill_tokens: &[u32], successors: &[Successor]) -> Vec<usize> {
    let mut loads: Vec<Successor> = successors.to_vec();
    let mut order: Vec<usize> = (0..prefill_tokens.len()).collect();
    order.sort_by_key(|stream| std::cmp::Reverse(prefill_tokens[*stream]));
    let mut chosen = vec![0; prefill_tokens.len()];
    for stream in order {
        let tokens = prefill_tokens[stream];
        let best = (0..loads.len()).min_by_key(|index| cost(&loads[*index], tokens));
        let Some(best) = best else {
            return Vec::new();
        };
        let load = &mut loads[best];
        load.queue += load.prefill * tokens;
        load.streams += 1;
        chosen[stream] = best;
    }
    chosen
}

/// returns the expected delay of a stream on a successor; those across the link sort last
fn cost(successor: &Successor, tokens: u32) -> (bool, Duration) {
    let first = successor.queue + successor.prefill * tokens;
    let crowding = successor.step * successor.streams / successor.slots.max(1);
    let excess = (successor.streams + 1).saturating_sub(successor.slots);
    let wait = successor.step * excess * QUEUE_STEPS;
    (successor.crosses_link, first + crowding + wait)
}
