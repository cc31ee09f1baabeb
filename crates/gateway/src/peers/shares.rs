use std::collections::HashMap;

use tokio::time::Instant;

use crate::adapter::Dialect;
use crate::model::Config;
use crate::shared::Shared;

/// unit of the metric of shares
const PERMILLE: f64 = 1000.0;

/// derives each workspace's share of each service from the demand of all daemons
pub(super) fn update_shares<D: Dialect>(shared: &Shared<D>, now: Instant) {
    let config = shared.config();
    let weights = config.as_deref().and_then(weights);
    let weight = |workspace: &str| {
        let weight = weights
            .as_ref()
            .and_then(|weights| weights.get(workspace).copied());
        weight.unwrap_or(1.0)
    };
    let mut fairness = shared.fairness.borrow_mut();
    let was_short: Vec<String> = short(&fairness);
    let mut placement = shared.placement.borrow_mut();
    fairness.update(|service| placement.vm_count(service), weight, now);
    for (service, state) in fairness.states() {
        placement.set_short(service, state.is_short);
    }
    drop(placement);
    for (service, state) in fairness.states() {
        if state.is_short == was_short.iter().any(|name| name == service) {
            continue;
        }
        let demand: f64 = state.demands.values().map(|demand| demand.requested).sum();
        tracing::info!(
            event = "capacity_short",
            service,
            is_short = state.is_short,
            demand = demand.round(),
            capacity = state.capacity.round(),
            workspaces = state.demands.len(),
        );
    }
    let shares = &shared.metrics.shares;
    shares.reset();
    for (service, state) in fairness.states() {
        for (workspace, fraction) in &state.fractions {
            let share = shares.with_label_values(&[service, workspace]);
            share.set((fraction * PERMILLE).round() as i64);
        }
    }
}

fn short(fairness: &route::fairness::Fairness) -> Vec<String> {
    let states = fairness.states().filter(|(_, state)| state.is_short);
    states.map(|(service, _)| service.to_owned()).collect()
}

/// rates of the workspaces' limits, if all have one in the same unit
///
/// A limit states what an operator grants a workspace, and is the only statement of its size in the
/// configuration. Without it, or with different units, all workspaces weigh the same.
fn weights(config: &Config) -> Option<HashMap<&str, f64>> {
    let mut weights = HashMap::new();
    let mut unit = None;
    for workspace in config.keys.values() {
        let limit = workspace.limit.as_ref()?;
        let is_requests = limit.unit == crate::model::Unit::Requests;
        if *unit.get_or_insert(is_requests) != is_requests {
            return None;
        }
        weights.insert(workspace.name.as_str(), limit.rate);
    }
    Some(weights)
}
