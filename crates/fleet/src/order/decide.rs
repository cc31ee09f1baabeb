//! Selection of the next step for one engine.

use macro_rules_attribute::apply;
use schema::config::Fencing;
use schema::engine::Order;
use tokio::time::Instant;

use super::term::Term;

/// model that an engine should serve
#[apply(schema::key!)]
pub struct Wanted {
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
    /// the engine is in the wanted state
    Settled,
    /// send this order, then read the engine's state again
    Put(Order),
    /// do nothing before this time, as orders of an earlier holder may still arrive
    Wait(Instant),
    /// the lease may expire before an order arrives; renew it first
    Renew,
    /// the engine has an order with this higher fencing token; the holder has to stop
    Superseded(u64),
}

/// decides the next step; `seen` is the last order that the engine reports, `None` if it has none
#[must_use]
pub fn order(
    wanted: &Wanted,
    seen: Option<&Order>,
    fencing: Fencing,
    term: &Term,
    now: Instant,
) -> Step {
    if let Some(seen) = seen {
        if fencing == Fencing::Checked && seen.fence > term.fence {
            return Step::Superseded(seen.fence);
        }
        if is_settled(wanted, seen, fencing, term) {
            return Step::Settled;
        }
    }
    if !term.is_long_enough(now) {
        return Step::Renew;
    }
    if fencing == Fencing::Ignored && now < term.alone_from() {
        return Step::Wait(term.alone_from());
    }
    Step::Put(Order {
        fence: term.fence,
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        version: wanted.version.clone(),
        role: wanted.role.clone(),
    })
}

fn is_settled(wanted: &Wanted, seen: &Order, fencing: Fencing, term: &Term) -> bool {
    // an engine that checks fencing tokens has to receive the current one even if the state
    // matches; otherwise it would still accept orders of an earlier holder
    let is_fence_current = fencing == Fencing::Ignored || seen.fence == term.fence;
    is_fence_current
        && seen.model == wanted.model
        && seen.adapter == wanted.adapter
        && seen.version == wanted.version
        && seen.role == wanted.role
}
