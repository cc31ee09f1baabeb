//! Selection of the next step for one engine.

use macro_rules_attribute::apply;
use schema::config::Fencing;
use schema::engine::Order;
use tokio::time::Instant;

use super::term::Term;

/// state that an engine should be in
#[apply(schema::key!)]
pub struct DesiredState {
    /// model to load
    pub model: String,
    /// adapter to load; empty for none
    pub adapter: String,
    /// version of the model; empty for any
    pub version: String,
    /// `mixed`, `prefill` or `decode`
    pub role: String,
}

/// next step for one engine
#[apply(schema::data!)]
pub enum Step {
    /// the engine is in the desired state
    InSync,
    /// send this order, then read the engine's state again
    Send(Order),
    /// do nothing before this time, as orders of an earlier holder may still arrive
    Wait(Instant),
    /// the lease may expire before an order arrives; renew it first
    Renew,
    /// the engine has an order with this higher fencing token; the holder has to stop
    Superseded(u64),
}

/// decides the next step; `reported` is the last order of the engine, `None` if it has none
#[must_use]
pub fn order(
    desired: &DesiredState,
    reported: Option<&Order>,
    fencing: Fencing,
    term: &Term,
    now: Instant,
) -> Step {
    if let Some(reported) = reported {
        if fencing == Fencing::Checked && reported.fence > term.fence {
            return Step::Superseded(reported.fence);
        }
        if is_in_sync(desired, reported, fencing, term) {
            return Step::InSync;
        }
    }
    if !term.outlasts_order(now) {
        return Step::Renew;
    }
    if fencing == Fencing::Ignored && now < term.exclusive_from() {
        return Step::Wait(term.exclusive_from());
    }
    Step::Send(Order {
        fence: term.fence,
        model: desired.model.clone(),
        adapter: desired.adapter.clone(),
        version: desired.version.clone(),
        role: desired.role.clone(),
    })
}

fn is_in_sync(desired: &DesiredState, reported: &Order, fencing: Fencing, term: &Term) -> bool {
    // an engine that checks fencing tokens has to receive the current one even if the state
    // matches; otherwise it would still accept orders of an earlier holder
    let is_fence_current = fencing == Fencing::Ignored || reported.fence == term.fence;
    is_fence_current
        && reported.model == desired.model
        && reported.adapter == desired.adapter
        && reported.version == desired.version
        && reported.role == desired.role
}
