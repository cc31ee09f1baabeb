//! Counters of daemons, read from their metrics.

use std::io;

use crate::world::World;

/// counter of attempts on upstreams
const ATTEMPTS: &str = "agateloom_attempts_total";

/// attempts on upstreams that all daemons counted so far
pub fn attempts(world: &World) -> io::Result<f64> {
    let mut sum = 0.0;
    for daemon in world.daemons() {
        let text = daemon.metrics().map_err(io::Error::other)?;
        sum += counter(&text, ATTEMPTS);
    }
    Ok(sum)
}

/// sum of a counter over its labels
fn counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}
