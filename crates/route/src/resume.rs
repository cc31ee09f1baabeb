//! Streams of an upstream VM that has its reclaim notice.
//!
//! A stream near its end finishes where it is. Else its KV cache is exported to the
//! successor, if that fits the notice and beats a prefill there; else it resumes
//! elsewhere with its prompt and tokens as the prefix. Successors are spread, so that
//! the streams of one VM do not pile up on one other.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// time kept back before the VM is taken
const MARGIN: Duration = Duration::from_secs(2);

/// time to arrange an export, beside the bytes
const EXPORT_SETUP: Duration = Duration::from_millis(200);

/// part of the notice that all exports of a VM may take
const EXPORT_PART: f64 = 0.8;

/// steps that a stream beyond the slots is taken to wait for each stream before it
const WAIT_STEPS: u32 = 16;

/// a stream in the middle
#[apply(value!)]
pub struct Stream {
    /// tokens generated so far
    pub done_tokens: u32,
    /// tokens still to come, by estimate
    pub left_tokens: u32,
    /// time of one step
    pub step: Duration,
}

/// the KV cache of a stream
#[apply(value!)]
pub struct Kv {
    /// size, bytes
    pub bytes: u64,
    /// rate at which this stream's cache can leave the VM, bytes per second
    pub bytes_per_second: u64,
    /// tokens it holds
    pub tokens: u32,
}

/// where a stream could go on
#[apply(value!)]
pub struct Successor {
    /// estimated queueing time there
    pub queue: Duration,
    /// time to prefill one token there
    pub prefill: Duration,
    /// time of one step there
    pub step: Duration,
    /// streams it can run at the same time
    pub slots: u32,
    /// streams it runs
    pub streams: u32,
    /// across the link between regions
    pub link: bool,
}

/// what becomes of a stream
#[apply(value!)]
pub enum Plan {
    /// it ends before the VM is taken
    Finish,
    /// its KV cache moves to the successor
    Export,
    /// it resumes elsewhere from its prompt and tokens
    Resume,
}

/// decides on one stream; `left` is the time until the VM is taken
pub fn plan(stream: &Stream, left: Duration, kv: &Kv, successor: &Successor) -> Plan {
    let usable = left.saturating_sub(MARGIN);
    if stream.step * stream.left_tokens <= usable {
        return Plan::Finish;
    }
    if successor.link || kv.bytes_per_second == 0 {
        return Plan::Resume;
    }
    let export = export_time(kv);
    let prefill = successor.prefill * kv.tokens;
    if export <= usable.mul_f64(EXPORT_PART) && export < prefill {
        return Plan::Export;
    }
    Plan::Resume
}

/// returns the time to move a KV cache
pub fn export_time(kv: &Kv) -> Duration {
    let seconds = kv.bytes as f64 / kv.bytes_per_second.max(1) as f64;
    EXPORT_SETUP.saturating_add(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// gives each of some streams a successor, as an index; empty if there are none
///
/// `prefill_tokens` has, for each stream, the tokens to prefill if it moves.
pub fn spread(prefill_tokens: &[u32], successors: &[Successor]) -> Vec<usize> {
    let mut loads: Vec<Successor> = successors.to_vec();
    let mut order: Vec<usize> = (0..prefill_tokens.len()).collect();
    order.sort_by_key(|stream| std::cmp::Reverse(prefill_tokens[*stream]));
    let mut chosen = vec![0; prefill_tokens.len()];
    for stream in order {
        let tokens = prefill_tokens[stream];
        let best = (0..loads.len()).min_by_key(|place| cost(&loads[*place], tokens));
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

/// returns the wait of a stream that moves to a successor
fn cost(successor: &Successor, tokens: u32) -> (bool, Duration) {
    let first = successor.queue + successor.prefill * tokens;
    let crowding = successor.step * successor.streams / successor.slots.max(1);
    let over = (successor.streams + 1).saturating_sub(successor.slots);
    let wait = successor.step * over * WAIT_STEPS;
    (successor.link, first + crowding + wait)
}
