//! Comparison of the new version with the old one, over the same seconds and the same route.
//!
//! The weight of a finding is the logarithm of a Bayes factor, which is compared with a threshold after
//! each addition of evidence as in a sequential probability ratio test. One explanation of the responses is
//! that the version is bad: each response at any of its VMs is affected with one unknown probability
//! in addition to that of the old version in the same second. The other is that it is as good as the old
//! one. Both allow for VMs that are faulty for reasons of their own.

use std::collections::{BTreeMap, BTreeSet};

use super::decision::{Fault, Finding};
use super::evidence::{Cell, Counts, Evidence, RATIOS, nearest_range, ratio_in};

/// how many times as long as the median of the old version a slow response takes; twice as long is what
/// cold caches cause
const SLOW_RATIO: f64 = 3.0;

/// affected responses below which nothing is concluded
const MIN_AFFECTED: u64 = 3;

/// largest number of responses of the new version for each of the old one in seconds that are compared;
/// once nearly all requests go to the new version, a fault that both have can't be told from its own
const MAX_RATIO_TO_OLD: u32 = 2;

/// standard deviations above the usual rate from which a second counts as disturbed
const DISTURBED: f64 = 2.0;

/// probabilities with which a bad version affects a response in addition to the old one's rate
const FAILURE_RATES: [f64; RATES] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.8];
const SLOW_RATES: [f64; RATES] = [0.15, 0.2, 0.3, 0.45, 0.65, 0.9];
const RATES: usize = 6;

/// rate of failures that is assumed for the old version at least
const MIN_FAILURE_RATE: f64 = 0.01;

/// rate of slow responses that is assumed for the old version at least: cold caches make some
/// responses of a good version cross the limit
const MIN_SLOW_RATE: f64 = 0.05;

/// probability that a VM fails requests for reasons of its own; a VM that crashes shows no failures
const FAILING_VMS: f64 = 0.03;

/// probability that a VM is slow for reasons of its own: a seventh of the VMs is
const SLOW_VMS: f64 = 1.0 / 7.0;

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
    mean: f64,
    /// one standard deviation above that
    upper: f64,
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
    /// logarithm for a good version
    good: f64,
    /// logarithms for a bad one by its rate
    bad: [f64; RATES],
}

/// responses, and those affected
#[derive(Debug, Clone, Copy, Default)]
struct Base {
    samples: u32,
    affected: u32,
}

/// the strongest difference to the disadvantage of the new version
pub(super) fn compare(evidence: &Evidence) -> Option<Finding> {
    let faults = [Fault::Failures, Fault::Slowness].into_iter();
    let findings = faults.filter_map(|fault| strongest(fault, evidence));
    findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
}

fn strongest(fault: Fault, evidence: &Evidence) -> Option<Finding> {
    let observations = observations(fault, evidence);
    let routes: BTreeSet<u8> = observations.iter().map(|one| one.route).collect();
    let all = (routes.len() != 1).then_some(None);
    let selections = routes.iter().map(|route| Some(*route)).chain(all);
    // each route is one more chance of a wrong finding
    let chances = (routes.len() as f64).max(1.0).ln();
    let findings = selections.filter_map(|route| {
        let is_selected = |one: &&Observation| route.is_none_or(|route| one.route == route);
        let selected = observations.iter().rev().filter(is_selected);
        let mut finding = strongest_since(fault, selected, evidence.latest())?;
        finding.route = route;
        finding.weight -= if route.is_some() { chances } else { 0.0 };
        Some(finding)
    });
    findings.max_by(|a, b| a.weight.total_cmp(&b.weight))
}

/// the strongest finding over the latest 1, 2, 4, ... seconds and over all, as a version may turn bad late
fn strongest_since<'a>(
    fault: Fault,
    descending: impl Iterator<Item = &'a Observation>,
    latest: u32,
) -> Option<Finding> {
    let mut tallies: BTreeMap<u8, Tally> = BTreeMap::new();
    let mut best: Option<Finding> = None;
    let mut expected = 0.0;
    let mut evaluate = |tallies: &BTreeMap<u8, Tally>, expected: f64| {
        let finding = finding(fault, tallies, expected);
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
        tally.add(fault, observation);
        expected += f64::from(observation.samples) * observation.rate.mean;
    }
    evaluate(&tallies, expected);
    best
}

fn finding(fault: Fault, tallies: &BTreeMap<u8, Tally>, expected: f64) -> Option<Finding> {
    let samples: u64 = tallies.values().map(|tally| tally.samples).sum();
    let affected: u64 = tallies.values().map(|tally| tally.affected).sum();
    if affected < MIN_AFFECTED || affected as f64 <= expected {
        return None;
    }
    let good: f64 = tallies
        .values()
        .map(|tally| tally.or_faulty(fault, tally.good))
        .sum();
    let bad = (0..RATES).map(|rate| {
        let tallies = tallies.values();
        tallies
            .map(|tally| tally.or_faulty(fault, tally.bad[rate]))
            .sum()
    });
    let bad = bad.reduce(ln_add)? - (RATES as f64).ln();
    Some(Finding {
        fault,
        route: None,
        samples,
        affected,
        expected,
        weight: bad - good,
    })
}

impl Tally {
    fn add(&mut self, fault: Fault, observation: &Observation) {
        let affected = f64::from(observation.affected);
        let other = f64::from(observation.samples - observation.affected);
        let likelihood = |rate: f64| affected * rate.ln() + other * (1.0 - rate).ln();
        let mean = observation.rate.mean;
        self.samples += u64::from(observation.samples);
        self.affected += u64::from(observation.affected);
        self.good += likelihood(observation.rate.upper);
        for (sum, more) in self.bad.iter_mut().zip(rates(fault)) {
            *sum += likelihood(mean + more * (1.0 - mean));
        }
    }

    /// logarithm of the likelihood if the VMs are faulty with some probability, and otherwise with the
    /// given one
    fn or_faulty(&self, fault: Fault, otherwise: f64) -> f64 {
        let part = match fault {
            Fault::Failures => FAILING_VMS,
            Fault::Slowness => SLOW_VMS,
        };
        let partly = self.at_own_rate(0) + (part * PARTLY_FAULTY).ln();
        let nearly = self.at_own_rate(NEARLY_ALL) + (part * (1.0 - PARTLY_FAULTY)).ln();
        ln_add(ln_add(partly, nearly), (1.0 - part).ln() + otherwise)
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

fn rates(fault: Fault) -> [f64; RATES] {
    match fault {
        Fault::Failures => FAILURE_RATES,
        Fault::Slowness => SLOW_RATES,
    }
}

/// what can be compared, in ascending order of seconds
fn observations(fault: Fault, evidence: &Evidence) -> Vec<Observation> {
    let slow_from = slow_from(evidence);
    let count = |cell: &Cell, counts: &Counts| match fault {
        Fault::Failures => Base {
            samples: counts.answered,
            affected: counts.failed,
        },
        Fault::Slowness => {
            let from = slow_from.get(&cell.route).copied();
            let from = from.unwrap_or_else(|| nearest_range(SLOW_RATIO));
            Base {
                samples: counts.ratios.iter().sum(),
                affected: counts.ratios[from..].iter().sum(),
            }
        }
    };
    let mut all = BTreeMap::new();
    let mut by_route: BTreeMap<u8, BTreeMap<u32, Base>> = BTreeMap::new();
    let mut of_target: BTreeMap<u32, u32> = BTreeMap::new();
    for (cell, counts) in evidence.cells() {
        let base = count(cell, counts);
        if cell.group.is_some() {
            *of_target.entry(cell.second).or_default() += base.samples;
            continue;
        }
        let route = by_route.entry(cell.route).or_default();
        route.entry(cell.second).or_default().add(base);
        all.entry(cell.second)
            .or_insert_with(Base::default)
            .add(base);
    }
    let min_rate = match fault {
        Fault::Failures => MIN_FAILURE_RATE,
        Fault::Slowness => MIN_SLOW_RATE,
    };
    let is_compared = |second: u32| {
        let of_old = all.get(&second).map_or(0, |base| base.samples);
        let of_target = of_target.get(&second).copied().unwrap_or(0);
        of_target <= of_old.saturating_mul(MAX_RATIO_TO_OLD)
    };
    let rates = Rates::new(&all, min_rate);
    let by_route: BTreeMap<u8, Rates> = by_route
        .iter()
        .map(|(route, seconds)| (*route, Rates::new(seconds, min_rate)))
        .collect();
    let observations = evidence.cells().filter_map(|(cell, counts)| {
        let group = cell.group.filter(|_| is_compared(cell.second))?;
        let of_route = by_route.get(&cell.route).unwrap_or(&rates);
        let of_second = [of_route, &rates].into_iter();
        let of_second = of_second.filter_map(|rates| rates.disturbed.get(&cell.second).copied());
        let rate = of_second.fold(of_route.usual, Rate::max);
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

impl Base {
    fn add(&mut self, other: Base) {
        self.samples = self.samples.saturating_add(other.samples);
        self.affected = self.affected.saturating_add(other.affected);
    }
}

impl Rate {
    fn new(base: Base, min_rate: f64) -> Rate {
        // the lowest rate counts as one more response
        let samples = f64::from(base.samples) + 1.0;
        let mean = ((f64::from(base.affected) + min_rate) / samples).clamp(min_rate, 0.98);
        let deviation = (mean * (1.0 - mean) / samples).sqrt();
        Rate {
            mean,
            upper: (mean + deviation).min(0.99),
        }
    }

    fn max(self, other: Rate) -> Rate {
        Rate {
            mean: self.mean.max(other.mean),
            upper: self.upper.max(other.upper),
        }
    }
}

impl Rates {
    /// rates of affected responses of the old version
    fn new(seconds: &BTreeMap<u32, Base>, min_rate: f64) -> Rates {
        let part = |base: &Base| f64::from(base.affected) / f64::from(base.samples.max(1));
        let mut ascending: Vec<Base> = seconds.values().copied().collect();
        ascending.sort_by(|a, b| part(a).total_cmp(&part(b)));
        ascending.truncate(ascending.len().div_ceil(2));
        let sum = |bases: &mut dyn Iterator<Item = Base>| {
            bases.fold(Base::default(), |mut sum, base| {
                sum.add(base);
                sum
            })
        };
        let low = Rate::new(sum(&mut ascending.into_iter()), min_rate);
        let is_disturbed = |base: &Base| {
            let samples = f64::from(base.samples);
            let deviation = (samples * low.mean * (1.0 - low.mean)).sqrt();
            f64::from(base.affected) > samples * low.mean + DISTURBED * deviation + 1.0
        };
        let undisturbed = seconds.values().copied().filter(|base| !is_disturbed(base));
        let usual = Rate::new(sum(&mut undisturbed.into_iter()), min_rate);
        let disturbed = seconds.iter().filter(|(_, base)| is_disturbed(base));
        Rates {
            usual,
            disturbed: disturbed
                .map(|(second, base)| (*second, Rate::new(*base, min_rate)))
                .collect(),
        }
    }
}

/// by route, the range from which a response is slow
fn slow_from(evidence: &Evidence) -> BTreeMap<u8, usize> {
    let mut ratios: BTreeMap<u8, [u64; RATIOS]> = BTreeMap::new();
    for (cell, counts) in evidence.cells().filter(|(cell, _)| cell.group.is_none()) {
        let sums = ratios.entry(cell.route).or_insert([0; RATIOS]);
        for (sum, count) in sums.iter_mut().zip(counts.ratios) {
            *sum += u64::from(count);
        }
    }
    let limits = ratios
        .into_iter()
        .filter_map(|(route, sums)| Some((route, nearest_range(SLOW_RATIO * median(&sums)?))));
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
    (x - 0.5) * x.ln() - x + 0.5 * (2.0 * std::f64::consts::PI).ln() + series
}
