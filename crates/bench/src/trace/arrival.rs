//! Times of arrival: a Poisson process whose rate changes.

use rand::Rng;

/// a part of the time with a rate of its own
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// part of the whole time, 0 to 1
    pub part: f64,
    /// its rate against the others'
    pub weight: f64,
}

/// draws the times of arrival, milliseconds; the mean rate is `rate` a second
pub fn draw(phases: &[Phase], seconds: u32, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
    let whole: f64 = phases.iter().map(|phase| phase.part * phase.weight).sum();
    let mut times = Vec::new();
    let mut start = 0.0;
    for phase in phases {
        let end = start + phase.part * f64::from(seconds);
        let phase_rate = rate * phase.weight / whole;
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
