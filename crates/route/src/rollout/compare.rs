//! Comparison of the new version with the old one, over the same seconds and the same route.
//!
//! The weight of a finding is the logarithm of a Bayes factor, which is compared with a threshold after
//! each addition of evidence as in a sequential probability ratio test. One explanation of the responses is
//! that the version is bad: each response at any of its VMs is affected with one unknown probability
//! in addition to that of the old version in the same second. The other is that it is as good as the old
//! one. Both allow for VMs that are faulty for reasons of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::{LN_2, PI};

use super::decision::{Fault, Finding};
use super::evidence::{Cell, Counts, Evidence, RATIOS, nearest_range, ratio_in};

/// affected responses below which nothing is concluded
const MIN_AFFECTED: u64 = 3;

/// largest number of responses of the new version for each of the old one in seconds that are compared;
/// once nearly all requests go to the new version, a fault that both have can't be told from its own
const MAX_RATIO_TO_OLD: f64 = 1.25;

/// standard deviations above the usual rate from which a second counts as disturbed
const DISTURBED: f64 = 2.5;

/// part of its weight that a response has in a disturbed second
const DISTURBED_WEIGHT: f64 = 0.5;

/// distance of seconds that a disturbed one affects: responses that it delays come later
const NEAR_S: u32 = 2;

/// repetitions in which disturbed seconds are found, each without those found before
const REPETITIONS: usize = 4;

/// part of the responses of a second before below which a second of the new version is not compared: the
/// slow ones of a larger share return while a smaller one is in force
const MIN_PART_OF_BEFORE: f64 = 0.34;

/// how far back these seconds are, and from how many responses on they count
const BEFORE_S: u32 = 4;
const BEFORE_SAMPLES: u32 = 20;

/// what is counted as an affected response
#[derive(Debug)]
struct Criterion {
    fault: Fault,
    /// for slowness, how many times as long as the median of the old version the response takes at least
    slow_ratio: f64,
    /// rate that is assumed for the old version at least
    min_rate: f64,
    /// probabilities with which a bad version affects a response in addition to that
    rates: [f64; RATES],
    /// probability that a VM of a good version has a rate of its own
    faulty_vms: f64,
}

const RATES: usize = 6;

/// A VM that crashes shows no failures, so that one with failures of its own is rare, whereas a
/// seventh of the VMs may be slow. Cold caches double the time of a response: a tenth of these exceed three
/// times the median, and hardly any 4.5 times.
const CRITERIA: [Criterion; 3] = [
    Criterion {
        fault: Fault::Failures,
        slow_ratio: f64::INFINITY,
        min_rate: 0.01,
        rates: [0.05, 0.1, 0.2, 0.35, 0.5, 0.8],
        faulty_vms: 0.01,
    },
    Criterion {
        fault: Fault::Slowness,
        slow_ratio: 3.0,
        min_rate: 0.055,
        rates: [0.15, 0.2, 0.3, 0.45, 0.65, 0.9],
        faulty_vms: 1.0 / 7.0,
    },
    Criterion {
        fault: Fault::Slowness,
        slow_ratio: 4.5,
        min_rate: 0.01,
        rates: [0.08, 0.15, 0.25, 0.35, 0.5, 0.8],
        faulty_vms: 1.0 / 7.0,
    },
];

/// part of the faulty VMs that may affect any part of their responses; the others affect nearly all
const PARTLY_FAULTY: f64 = 0.2;

/// affected responses, without another, that stand for what is known of a VM that affects nearly all
const NEARLY_ALL: u64 = 8;

/// responses at a group of VMs of the new version, and the rates at the old version in that second
#[derive(Debug, Clone, Copy)]
struct Observation {
    second: u32,
    group: u8,
    route: u8,
    samples: u32,
    affected: u32,
    rate: Rate,
}

/// rate of affected responses at the old version
#[derive(Debug, Clone, Copy)]
struct Rate {
    /// part of the weight that responses have: less while the old version is disturbed, as the two
    /// versions' responses may lie differently within the second
    weight: f64,
    mean: f64,
    /// one standard deviation above that
    upper: f64,
    /// the rate of a sound VM: that of the old version includes its faulty VMs
    sound: f64,
}

/// the rate in most seconds, and those of seconds in which it is higher, such as while the VMs of both
/// versions fail
#[derive(Debug)]
struct Rates {
    usual: Rate,
    disturbed: BTreeMap<u32, Rate>,
}

/// likelihoods of the responses at a group of VMs
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    samples: u64,
    affected: u64,
    /// logarithms for a good version, at the old version's rate and at that of a sound VM
    good: [f64; 2],
    /// logarithms for a bad one, likewise, by its rate
    bad: [[f64; RATES]; 2],
}

/// responses, and those affected
#[derive(Debug, Clone, Copy, Default)]
struct Base {
    samples: u32,
    affected: u32,
}

/// the strongest difference to the disadvantage of the new version
pub(super) fn compare(evidence: &Evidence) -> Option<Finding> {
    let criteria = CRITERIA.iter();
    let findings = criteria.filter_map(|criterion| strongest(criterion, evidence));
    findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
}

fn strongest(criterion: &Criterion, evidence: &Evidence) -> Option<Finding> {
    let observations = observations(criterion, evidence);
    let routes: BTreeSet<u8> = observations.iter().map(|one| one.route).collect();
    let all = (routes.len() != 1).then_some(None);
    let selections = routes.iter().map(|route| Some(*route)).chain(all);
    // each route is one more chance of a wrong finding
    let chances = (routes.len() as f64).max(1.0).ln();
    let findings = selections.filter_map(|route| {
        let is_selected = |one: &&Observation| route.is_none_or(|route| one.route == route);
        let selected = observations.iter().rev().filter(is_selected);
        let mut finding = strongest_since(criterion, selected, evidence.latest())?;
        finding.route = route;
        finding.weight -= if route.is_some() { chances } else { 0.0 };
        Some(finding)
    });
    findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
}

/// the strongest finding over the latest 1, 2, 4, ... seconds and over all, as a version may turn bad late
fn strongest_since<'a>(
    criterion: &Criterion,
    descending: impl Iterator<Item = &'a Observation>,
    latest: u32,
) -> Option<Finding> {
    let mut tallies: BTreeMap<u8, Tally> = BTreeMap::new();
    let mut best: Option<Finding> = None;
    let mut expected = 0.0;
    let mut evaluate = |tallies: &BTreeMap<u8, Tally>, expected: f64| {
        let finding = finding(criterion, tallies, expected);
        if let Some(finding) = finding
            && best.is_none_or(|best| finding.weight > best.weight)
        {
            best = Some(finding);
        }
    };
    let mut span = 1;
    for observation in descending {
        if observation.second + span <= latest {
            evaluate(&tallies, expected);
            while observation.second + span <= latest {
                span *= 2;
            }
        }
        let tally = tallies.entry(observation.group).or_default();
        tally.add(criterion, observation);
        expected += f64::from(observation.samples) * observation.rate.mean;
    }
    evaluate(&tallies, expected);
    best
}

/// groups of VMs, each with the log-likelihood of its responses if its VMs are faulty
struct Groups<'a> {
    /// log-probability that the VMs of a group are sound
    is_sound: f64,
    tallies: Vec<(&'a Tally, f64)>,
}

impl Groups<'_> {
    /// log-likelihood of all responses if sound VMs affect them at a rate, with that of each group if its
    /// VMs are sound
    fn ln_likelihood(&self, rate: f64, if_sound: impl Fn(&Tally) -> f64) -> f64 {
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

fn finding(criterion: &Criterion, tallies: &BTreeMap<u8, Tally>, expected: f64) -> Option<Finding> {
    let samples: u64 = tallies.values().map(|tally| tally.samples).sum();
    let affected: u64 = tallies.values().map(|tally| tally.affected).sum();
    if affected < MIN_AFFECTED || affected as f64 <= expected {
        return None;
    }
    let groups = Groups {
        is_sound: (1.0 - criterion.faulty_vms).ln(),
        tallies: tallies
            .values()
            .map(|tally| (tally, tally.if_faulty(criterion)))
            .collect(),
    };
    let mixed = groups.ln_likelihood(0.0, |tally| ln_add(tally.good[0], tally.good[1]) - LN_2);
    let good = (0..2).map(|base| groups.ln_likelihood(0.0, |tally| tally.good[base]));
    let good = good.reduce(ln_add).map(|good| ln_add(good, mixed))?;
    let bad = (0..2).flat_map(|base| (0..RATES).map(move |rate| (base, rate)));
    let bad = bad.map(|(base, rate)| {
        groups.ln_likelihood(criterion.rates[rate], |tally| tally.bad[base][rate])
    });
    let bad = bad.reduce(ln_add)? - (RATES as f64).ln();
    Some(Finding {
        fault: criterion.fault,
        route: None,
        samples,
        affected,
        expected,
        weight: bad - good,
    })
}

impl Tally {
    fn add(&mut self, criterion: &Criterion, observation: &Observation) {
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
    fn if_faulty(&self, criterion: &Criterion) -> f64 {
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

/// what can be compared, in ascending order of seconds
fn observations(criterion: &Criterion, evidence: &Evidence) -> Vec<Observation> {
    let slow_from = slow_from(criterion, evidence);
    let count = |cell: &Cell, counts: &Counts| criterion.count(counts, slow_from.get(&cell.route));
    let mut all: BTreeMap<u32, Base> = BTreeMap::new();
    let mut by_route: BTreeMap<u8, BTreeMap<u32, Base>> = BTreeMap::new();
    let mut of_target_in: BTreeMap<u32, Base> = BTreeMap::new();
    for (cell, counts) in evidence.cells() {
        let base = count(cell, counts);
        if cell.group.is_some() {
            of_target_in.entry(cell.second).or_default().add(base);
            continue;
        }
        let route = by_route.entry(cell.route).or_default();
        route.entry(cell.second).or_default().add(base);
        all.entry(cell.second).or_default().add(base);
    }
    let is_compared = |second: u32| {
        let of_old = all.get(&second).map_or(0, |base| base.samples);
        let of_target = of_target_in.get(&second).map_or(0, |base| base.samples);
        let before = of_target_in.range(second.saturating_sub(BEFORE_S)..second);
        let before = before.map(|(_, base)| base.samples).max().unwrap_or(0);
        let is_falling = before >= BEFORE_SAMPLES
            && f64::from(of_target) < MIN_PART_OF_BEFORE * f64::from(before);
        !is_falling && f64::from(of_target) <= MAX_RATIO_TO_OLD * f64::from(of_old)
    };
    let rates = Rates::new(&all, criterion.min_rate);
    let by_route: BTreeMap<u8, Rates> = by_route
        .iter()
        .map(|(route, seconds)| (*route, Rates::new(seconds, criterion.min_rate)))
        .collect();
    let observations = evidence.cells().filter_map(|(cell, counts)| {
        let group = cell.group.filter(|_| is_compared(cell.second))?;
        let of_route = by_route.get(&cell.route).unwrap_or(&rates);
        let rate = rates.add_disturbed(of_route.usual, cell.second);
        let rate = of_route.add_disturbed(rate, cell.second);
        let Base { samples, affected } = count(cell, counts);
        Some(Observation {
            second: cell.second,
            group,
            route: cell.route,
            samples,
            affected,
            rate,
        })
    });
    observations.collect()
}

impl Criterion {
    /// responses that count and those affected; `slow_from` is the first range of slow ones
    fn count(&self, counts: &Counts, slow_from: Option<&usize>) -> Base {
        match self.fault {
            Fault::Failures => Base {
                samples: counts.answered,
                affected: counts.failed,
            },
            Fault::Slowness => Base {
                samples: counts.ratios.iter().sum(),
                affected: slow_from.map_or(0, |from| counts.ratios[*from..].iter().sum()),
            },
        }
    }
}

impl Base {
    fn add(&mut self, other: Base) {
        self.samples = self.samples.saturating_add(other.samples);
        self.affected = self.affected.saturating_add(other.affected);
    }
}

impl Base {
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
    fn new(seconds: &BTreeMap<u32, Base>, min_rate: f64) -> Rates {
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
    fn add_disturbed(&self, rate: Rate, second: u32) -> Rate {
        let near = second.saturating_sub(NEAR_S)..=second.saturating_add(NEAR_S);
        let disturbed = self.disturbed.range(near).map(|(_, rate)| *rate);
        disturbed.fold(rate, Rate::max)
    }
}

/// by route with responses of the old version, the range from which one is slow
fn slow_from(criterion: &Criterion, evidence: &Evidence) -> BTreeMap<u8, usize> {
    let mut ratios: BTreeMap<u8, [u64; RATIOS]> = BTreeMap::new();
    for (cell, counts) in evidence.cells().filter(|(cell, _)| cell.group.is_none()) {
        let sums = ratios.entry(cell.route).or_insert([0; RATIOS]);
        for (sum, count) in sums.iter_mut().zip(counts.ratios) {
            *sum += u64::from(count);
        }
    }
    let limits = ratios.into_iter().filter_map(|(route, sums)| {
        Some((route, nearest_range(criterion.slow_ratio * median(&sums)?)))
    });
    limits.collect()
}

/// median of ratios that are counted by range, if there are any
fn median(counts: &[u64; RATIOS]) -> Option<f64> {
    let half = counts.iter().sum::<u64>() as f64 / 2.0;
    let mut below = 0.0;
    for (range, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
        let count = *count as f64;
        if below + count >= half {
            return Some(ratio_in(range, (half - below) / count));
        }
        below += count;
    }
    None
}

/// logarithm of the sum of two numbers given by their logarithms
fn ln_add(a: f64, b: f64) -> f64 {
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
