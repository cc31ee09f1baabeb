//! Weighted max-min fair division.

use std::collections::HashMap;

use super::Demand;

/// smallest fraction of a kind, in multiples of that of its workspace: no kind may be served less
/// than a quarter as often as all requests
const MIN_KIND_FRACTION: f64 = 0.3;

/// smallest fraction of a workspace's demand, in multiples of that of all: a workspace that usually
/// sends most of the traffic is not served less than a quarter as often as the rest
const MIN_WORKSPACE_FRACTION: f64 = 0.3;

/// smallest weight, in multiples of usual ones
const MIN_WEIGHT: f64 = 1e-6;

/// fraction of each workspace's demand that is within its share of a capacity
///
/// Each gets a small part of its demand; the rest of the capacity is divided max-min fairly.
pub fn fractions(
    demands: &HashMap<String, Demand>,
    capacity: f64,
    weight: impl Fn(&str) -> f64,
) -> HashMap<String, f64> {
    // in order of demand for each unit of weight; each takes what it asks for, or an equal part of
    // the rest
    let mut order: Vec<(&String, f64, f64)> = demands
        .iter()
        .map(|(name, demand)| (name, demand.wanted(), weight(name).max(MIN_WEIGHT)))
        .collect();
    let requested: f64 = order.iter().map(|(_, requested, _)| requested).sum();
    let min = MIN_WORKSPACE_FRACTION * (capacity / requested.max(f64::MIN_POSITIVE)).min(1.0);
    order.sort_by(|one, other| (one.1 / one.2).total_cmp(&(other.1 / other.2)));
    let mut weights: f64 = order.iter().map(|(_, _, weight)| weight).sum();
    let mut left = capacity - min * requested;
    let mut fractions = HashMap::new();
    for (name, requested, weight) in order {
        let share = (requested * (1.0 - min)).min(left * weight / weights);
        let fraction = if requested > 0.0 {
            min + share / requested
        } else {
            1.0
        };
        fractions.insert(name.clone(), fraction.clamp(0.0, 1.0));
        left = (left - share).max(0.0);
        weights -= weight;
    }
    fractions
}

/// fraction of a kind of a workspace that is within its share, if `fraction` of all its work is:
/// urgent kinds go first, and none gets nothing
pub(super) fn kind_fraction(kinds: &[(u8, f64)], priority: u8, fraction: f64) -> f64 {
    let total: f64 = kinds.iter().map(|(_, work)| work).sum();
    let min = MIN_KIND_FRACTION * fraction;
    let mut left = (fraction - min) * total;
    for (kind, work) in kinds {
        let more = left.min(work * (1.0 - min));
        if *kind == priority && *work > 0.0 {
            return min + more / work;
        }
        left -= more;
    }
    fraction
}
