//! Rates of affected responses at the old version, with those of disturbed seconds.

use std::collections::BTreeMap;

/// standard deviations above the usual rate from which a second counts as disturbed
const DISTURBED: f64 = 2.5;

/// part of its weight that a response has in a disturbed second
const DISTURBED_WEIGHT: f64 = 0.5;

/// distance of seconds that a disturbed one affects: responses that it delays come later
const NEAR_S: u32 = 2;

/// repetitions in which disturbed seconds are found, each without those found before
const REPETITIONS: usize = 4;

/// responses, and those affected
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Base {
    pub samples: u32,
    pub affected: u32,
}

/// rate of affected responses at the old version
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// part of the weight that responses have: less while the old version is disturbed, as the two
    /// versions' responses may lie differently within the second
    pub weight: f64,
    pub mean: f64,
    /// one standard deviation above that
    pub upper: f64,
    /// the rate of a sound VM: that of the old version includes its faulty VMs
    pub sound: f64,
}

/// the rate in most seconds, and those of seconds in which it is higher, such as while the VMs of both
/// versions fail
#[derive(Debug)]
pub(super) struct Rates {
    pub usual: Rate,
    disturbed: BTreeMap<u32, Rate>,
}

impl Base {
    pub fn add(&mut self, other: Base) {
        self.samples = self.samples.saturating_add(other.samples);
        self.affected = self.affected.saturating_add(other.affected);
    }

    fn part(&self) -> f64 {
        f64::from(self.affected) / f64::from(self.samples.max(1))
    }

    fn sum(bases: impl IntoIterator<Item = Base>) -> Base {
        let mut sum = Base::default();
        for base in bases {
            sum.add(base);
        }
        sum
    }
}

impl Rate {
    fn new(base: Base, min_rate: f64) -> Rate {
        // the lowest rate counts as one more response
        let samples = f64::from(base.samples) + 1.0;
        let mean = ((f64::from(base.affected) + min_rate) / samples).clamp(min_rate, 0.98);
        let deviation = (mean * (1.0 - mean) / samples).sqrt();
        Rate {
            weight: 1.0,
            mean,
            upper: (mean + deviation).min(0.99),
            sound: min_rate,
        }
    }

    fn max(self, other: Rate) -> Rate {
        Rate {
            weight: self.weight.min(other.weight),
            mean: self.mean.max(other.mean),
            upper: self.upper.max(other.upper),
            sound: self.sound.max(other.sound),
        }
    }
}

impl Rates {
    /// rates of affected responses of the old version
    pub fn new(seconds: &BTreeMap<u32, Base>, min_rate: f64) -> Rates {
        let mut ascending: Vec<Base> = seconds.values().copied().collect();
        ascending.sort_by(|a, b| a.part().total_cmp(&b.part()));
        ascending.truncate(ascending.len().div_ceil(2));
        // the lower half has too low a rate, which the repetitions correct
        let mut usual = Rate::new(Base::sum(ascending), min_rate);
        let mut disturbed = BTreeMap::new();
        for _ in 0..REPETITIONS {
            let is_disturbed = |base: &Base| {
                let samples = f64::from(base.samples);
                let deviation = (samples * usual.mean * (1.0 - usual.mean)).sqrt();
                f64::from(base.affected) > samples * usual.mean + DISTURBED * deviation + 1.0
            };
            let above = seconds.iter().filter(|(_, base)| is_disturbed(base));
            let rate = |base: &Base| {
                let rate = Rate::new(*base, min_rate);
                Rate {
                    weight: DISTURBED_WEIGHT,
                    sound: rate.mean,
                    ..rate
                }
            };
            disturbed = above.map(|(second, base)| (*second, rate(base))).collect();
            let others = seconds.values().copied().filter(|base| !is_disturbed(base));
            usual = Rate::new(Base::sum(others), min_rate);
        }
        Rates { usual, disturbed }
    }

    /// the larger of a rate and those of disturbed seconds around this one: a disturbance begins and
    /// ends within a second, in which the versions' responses may lie differently
    pub fn add_disturbed(&self, rate: Rate, second: u32) -> Rate {
        let near = second.saturating_sub(NEAR_S)..=second.saturating_add(NEAR_S);
        let disturbed = self.disturbed.range(near).map(|(_, rate)| *rate);
        disturbed.fold(rate, Rate::max)
    }
}
