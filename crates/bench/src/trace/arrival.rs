//! Arrival times: a Poisson process with a piecewise constant rate.

use rand::Rng;

/// a span of the trace with a constant arrival rate
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// fraction of the trace's duration, 0 to 1
    pub fraction: f64,
    /// arrival rate relative to the other phases
    pub weight: f64,
}

/// draws arrival times in milliseconds; `rate` is the mean number of calls per second
pub fn draw(phases: &[Phase], seconds: u32, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
    let total_weight: f64 = phases
        .iter()
        .map(|phase| phase.fraction * phase.weight)
        .sum();
    let mut times = Vec::new();
    let mut start = 0.0;
    for phase in phases {
        let end = start + phase.fraction * f64::from(seconds);
        let phase_rate = rate * phase.weight / total_weight;
        let mut at = start;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / phase_rate;
            if at >= end {
                break;
            }
            times.push((at * 1_000.0) as u32);
        }
        start = end;
    }
    times
}
