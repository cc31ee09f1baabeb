//! Order of requests at an engine.
//!
//! Engines prefill the prompts of more urgent requests first. Load pattern: a kind of short prompts is
//! the least urgent one and has the shortest objective. At moderate load, one in eleven of its requests was
//! late behind some 33,000 tokens of three longer prompts, though it took 18 ms itself. So a request that
//! needs little prefill is as urgent as the kinds whose objectives are no shorter than its own: it delays
//! each of them by a twentieth of the objective at most, and they would wait for it if requests were
//! served by objective.

use std::time::Duration;

use super::Kind;

/// longest prefill of a request that is served before others, as a fraction of their objective
const SHORT_FRACTION: f64 = 0.05;

/// priority of a request at an engine among the requests of its workspace, 0 is the most urgent
pub fn engine_priority(kind: Kind, kinds: &[Kind], prefill: Duration) -> u8 {
    let yields = |other: &&Kind| {
        other.objective >= kind.objective && prefill <= other.objective.mul_f64(SHORT_FRACTION)
    };
    let others = kinds.iter().filter(yields);
    let most_urgent = others.map(|other| other.priority).min();
    most_urgent.map_or(kind.priority, |priority| priority.min(kind.priority))
}
