//! The next step with one engine.

use macro_rules_attribute::apply;
use schema::config::Fencing;
use schema::engine::Order;
use tokio::time::Instant;

use super::term::Term;

/// the state an engine should be in
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

/// the next step with one engine
#[apply(schema::data!)]
pub enum Step {
    /// it is as wanted
    Settled,
    /// send this order, then read back
    Put(Order),
    /// do nothing before this time
    Wait(Instant),
    /// the lease is too short for an order; renew it first
    Renew,
    /// a later holder has given an order: this one has to stop
    Superseded(u64),
}

/// decides the next step from the state read back; `seen` is `None` if it has none yet
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
    // an engine that checks has to see the new number, or a former holder's order still passes
    let fenced = fencing == Fencing::Ignored || seen.fence == term.fence;
    fenced
        && seen.model == wanted.model
        && seen.adapter == wanted.adapter
        && seen.version == wanted.version
        && seen.role == wanted.role
}
