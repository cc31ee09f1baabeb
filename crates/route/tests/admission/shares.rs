//! Load pattern: workspaces with different demand compete for less capacity than they ask for.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use route::fairness::{Attempt, Demand, Demands, Fairness, Standing, fractions};
use tokio::time::Instant;

use super::cluster::SERVICE;

fn attempt(workspace: &str) -> Attempt<'_> {
    Attempt {
        service: SERVICE,
        workspace,
        priority: 0,
        is_repeated: false,
    }
}

fn demand(requested: f64, refused: f64) -> Demand {
    Demand {
        requested,
        refused,
        served: requested - refused,
        late: 0.0,
    }
}

fn reported(demands: &[(&str, Demand)]) -> Demands {
    let workspaces = demands
        .iter()
        .map(|(name, demand)| ((*name).to_owned(), *demand));
    HashMap::from([(SERVICE.to_owned(), workspaces.collect())])
}

/// fraction of the attempts of a workspace that are beyond its share
fn beyond(fairness: &Fairness, workspace: &str) -> f64 {
    let draws = (0..1000).map(|part| u64::MAX / 1000 * part);
    let attempt = attempt(workspace);
    let beyond = draws.filter(|draw| fairness.standing(&attempt, *draw) == Standing::Beyond);
    beyond.count() as f64 / 1000.0
}

/// guards against requests that are treated differently although nothing is refused
#[test]
fn without_refusals_no_request_is_marked() {
    let now = Instant::now();
    let mut fairness = Fairness::new();
    let calm = [
        ("large", demand(90_000.0, 900.0)),
        ("small", demand(9000.0, 0.0)),
    ];
    fairness.set_peer("others", &reported(&calm), now);
    fairness.update(|_| 30, |_| 1.0, now);
    for workspace in ["large", "small", "unknown"] {
        assert_eq!(
            fairness.standing(&attempt(workspace), u64::MAX),
            Standing::Usual
        );
    }
}

#[test]
fn the_surging_workspace_is_marked_and_the_others_are_not() {
    let now = Instant::now();
    let mut fairness = Fairness::new();
    let short = [
        ("large", demand(90_000.0, 60_000.0)),
        ("small", demand(9000.0, 3000.0)),
    ];
    fairness.set_peer("others", &reported(&short), now);
    fairness.update(|_| 30, |_| 1.0, now);
    assert!(beyond(&fairness, "large") > 0.6);
    assert!(beyond(&fairness, "small") < 0.01);
    assert!(beyond(&fairness, "unknown") < 0.01);
}

/// guards against shares that outlive the shortage, or end with each second without refusals
#[test]
fn shares_end_two_seconds_after_the_last_refusals() {
    let now = Instant::now();
    let mut fairness = Fairness::new();
    let mut is_short = |after_ms: u64, refused: f64| {
        let now = now + Duration::from_millis(after_ms);
        let demands = [("w", demand(10_000.0, refused))];
        fairness.set_peer("others", &reported(&demands), now);
        fairness.update(|_| 30, |_| 1.0, now);
        fairness.standing(&attempt("w"), 0) != Standing::Usual
    };
    assert!(is_short(0, 500.0));
    assert!(is_short(500, 0.0));
    assert!(is_short(2000, 0.0));
    assert!(
        is_short(2200, 150.0),
        "between the thresholds nothing changes"
    );
    assert!(is_short(2500, 0.0));
    assert!(is_short(4400, 0.0));
    assert!(!is_short(4600, 0.0));
    assert!(
        !is_short(5000, 150.0),
        "between the thresholds nothing changes"
    );
}

/// guards against shares from the demand of daemons that are gone
#[test]
fn demand_of_a_peer_that_stopped_reporting_does_not_count() {
    let now = Instant::now();
    let mut fairness = Fairness::new();
    let short = [("large", demand(90_000.0, 60_000.0))];
    fairness.set_peer("others", &reported(&short), now);
    fairness.update(|_| 30, |_| 1.0, now);
    assert!(beyond(&fairness, "large") > 0.5);
    for after_s in 6..10 {
        fairness.update(|_| 30, |_| 1.0, now + Duration::from_secs(after_s));
    }
    assert_eq!(
        fairness.standing(&attempt("large"), u64::MAX),
        Standing::Usual
    );
}

/// guards against reports that take a noticeable part of a link
#[test]
fn the_demand_of_40_workspaces_takes_under_a_kilobyte() {
    let names: Vec<String> = (0..40).map(|number| format!("ws-{number}")).collect();
    let demands: Vec<(&str, Demand)> = names
        .iter()
        .map(|name| (name.as_str(), demand(40_000.0, 10_000.0)))
        .collect();
    let text = serde_json::to_string(&reported(&demands)).expect("a report is serialised");
    assert!(text.len() < 1000, "{} bytes", text.len());
}

proptest! {
    /// shares use the whole capacity, and a workspace is cut only if none gets more for its weight,
    /// but for the smallest fraction that each gets
    #[test]
    fn shares_are_max_min_fair(
        requested in prop::collection::vec(1.0..1000.0f64, 1..20),
        part in 0.05..1.5f64,
    ) {
        let total: f64 = requested.iter().sum();
        let capacity = total * part;
        let demands: HashMap<String, Demand> = requested
            .iter()
            .enumerate()
            .map(|(number, requested)| (number.to_string(), demand(*requested, 0.0)))
            .collect();
        let fractions = fractions(&demands, capacity, |_| 1.0);
        let share = |name: &String| fractions[name] * demands[name].requested;
        let sum: f64 = demands.keys().map(share).sum();
        prop_assert!((sum - capacity.min(total)).abs() < 1e-6 * total);
        let min = 0.3 * part.min(1.0);
        let rest = |name: &String| share(name) - min * demands[name].requested;
        let most = demands.keys().map(rest).fold(0.0, f64::max);
        for name in demands.keys() {
            prop_assert!(fractions[name] >= min - 1e-9);
            let is_cut = fractions[name] < 1.0 - 1e-9;
            prop_assert!(!is_cut || rest(name) >= most - 1e-6 * total);
        }
    }
}
