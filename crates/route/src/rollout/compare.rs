//! Comparison of the new version with the old one, over the same seconds and the same route.
//!
//! The weight of a finding is the logarithm of a Bayes factor, which is compared with a threshold after
//! each addition of evidence as in a sequential probability ratio test. One explanation of the responses is
//! that the version is bad: each response at any of its VMs is affected with one unknown probability
//! in addition to that of the old version in the same second. The other is that it is as good as the old
//! one. Both allow for VMs that are faulty for reasons of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::LN_2;

use super::decision::{Fault, Finding};
use super::evidence::{Cell, Counts, Evidence, RATIOS, nearest_range, ratio_in};
use super::likelihood::{Groups, Tally, ln_add};
use super::rate::{Base, Rate, Rates};

/// affected responses below which nothing is concluded
const MIN_AFFECTED: u64 = 3;

/// largest number of responses of the new version for each of the old one in seconds that are compared;
/// once nearly all requests go to the new version, a fault that both have can't be told from its own
const MAX_RATIO_TO_OLD: f64 = 1.25;

/// part of the responses of a second before below which a second of the new version is not compared: the
/// slow ones of a larger share return while a smaller one is in force
const MIN_PART_OF_BEFORE: f64 = 0.34;

/// how far back these seconds are, and from how many responses on they count
const BEFORE_S: u32 = 4;
const BEFORE_SAMPLES: u32 = 20;

/// what is counted as an affected response
#[derive(Debug)]
pub(super) struct Criterion {
    fault: Fault,
    /// for slowness, how many times as long as the median of the old version the response takes at least
    slow_ratio: f64,
    /// rate that is assumed for the old version at least
    min_rate: f64,
    /// probabilities with which a bad version affects a response in addition to that
    pub rates: [f64; RATES],
    /// probability that a VM of a good version has a rate of its own
    pub faulty_vms: f64,
}

/// number of rates that a bad version may have
pub(super) const RATES: usize = 6;

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

/// responses at a group of VMs of the new version, and the rates at the old version in that second
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    second: u32,
    group: u8,
    route: u8,
    pub samples: u32,
    pub affected: u32,
    pub rate: Rate,
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
