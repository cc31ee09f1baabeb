//! Likelihoods of the responses at groups of VMs, as logarithms.

use std::f64::consts::PI;

use super::compare::{Criterion, Observation, RATES};
use super::rate::Rate;

/// part of the faulty VMs that may affect any part of their responses; the others affect nearly all
const PARTLY_FAULTY: f64 = 0.2;

/// affected responses, without another, that stand for what is known of a VM that affects nearly all
const NEARLY_ALL: u64 = 8;

/// likelihoods of the responses at a group of VMs
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    pub samples: u64,
    pub affected: u64,
    /// logarithms for a good version, at the old version's rate and at that of a sound VM
    pub good: [f64; 2],
    /// logarithms for a bad one, likewise, by its rate
    pub bad: [[f64; RATES]; 2],
}

/// groups of VMs, each with the log-likelihood of its responses if its VMs are faulty
pub(super) struct Groups<'a> {
    /// log-probability that the VMs of a group are sound
    pub is_sound: f64,
    pub tallies: Vec<(&'a Tally, f64)>,
}

impl Groups<'_> {
    /// log-likelihood of all responses if sound VMs affect them at a rate, with that of each group if its
    /// VMs are sound
    pub fn ln_likelihood(&self, rate: f64, if_sound: impl Fn(&Tally) -> f64) -> f64 {
        let tallies = self.tallies.iter().map(|(tally, if_faulty)| {
            let if_sound = self.is_sound + if_sound(tally);
            // a faulty VM affects more responses than a sound one, not fewer
            if tally.affected as f64 > rate * tally.samples as f64 {
                ln_add(*if_faulty, if_sound)
            } else {
                if_sound
            }
        });
        tallies.sum()
    }
}

impl Tally {
    pub fn add(&mut self, criterion: &Criterion, observation: &Observation) {
        let affected = f64::from(observation.affected);
        let other = f64::from(observation.samples - observation.affected);
        let weight = observation.rate.weight;
        let likelihood = |rate: f64| weight * (affected * rate.ln() + other * (1.0 - rate).ln());
        self.samples += u64::from(observation.samples);
        self.affected += u64::from(observation.affected);
        let Rate {
            mean, upper, sound, ..
        } = observation.rate;
        self.good[0] += likelihood(upper);
        self.good[1] += likelihood(sound);
        for (sums, base) in self.bad.iter_mut().zip([mean, sound]) {
            for (sum, more) in sums.iter_mut().zip(criterion.rates) {
                *sum += likelihood(base + more * (1.0 - base));
            }
        }
    }

    /// logarithm of the probability that the VMs are faulty and respond like this
    pub fn if_faulty(&self, criterion: &Criterion) -> f64 {
        let part = criterion.faulty_vms;
        let partly = self.at_own_rate(0) + (part * PARTLY_FAULTY).ln();
        let nearly = self.at_own_rate(NEARLY_ALL) + (part * (1.0 - PARTLY_FAULTY)).ln();
        ln_add(partly, nearly)
    }

    /// logarithm of the likelihood if the VMs have a rate of their own, any with the same probability
    /// before a number of affected responses
    fn at_own_rate(&self, before: u64) -> f64 {
        let other = self.samples - self.affected;
        ln_factorial(self.affected + before) + ln_factorial(other)
            - ln_factorial(self.samples + before + 1)
            + (before as f64 + 1.0).ln()
    }
}

/// logarithm of the sum of two numbers given by their logarithms
pub(super) fn ln_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    high + (low - high).exp().ln_1p()
}

/// logarithm of the factorial, by Stirling's series
fn ln_factorial(number: u64) -> f64 {
    if number < 2 {
        return 0.0;
    }
    let x = number as f64 + 1.0;
    let series = 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3));
    (x - 0.5) * x.ln() - x + 0.5 * (2.0 * PI).ln() + series
}
