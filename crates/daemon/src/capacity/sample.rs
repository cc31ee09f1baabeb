//! Load of one engine, and the order that brings it to its desired state.

use engine::{Failure, FailureKind};
use entry::Context;
use fleet::StoreStatus;
use fleet::order::{DesiredState, Step, order};
use macro_rules_attribute::apply;
use route::table::Vm;
use schema::config::Fencing;
use tokio::time::Instant;

use super::leadership::Leadership;

/// role that every engine is ordered to take
const ROLE: &str = "mixed";

/// load of one engine
#[apply(schema::data!)]
pub struct Sample {
    /// name of its VM
    pub vm: String,
    /// running and waiting requests; `None` if the engine did not respond
    pub in_flight: Option<u32>,
}

/// polls an engine's load and orders it to load the model of its service
pub fn take(context: &Context, leadership: &Leadership, vm: &Vm) -> Sample {
    let load = context.engines.load(&vm.address);
    let in_flight = load
        .ok()
        .map(|load| load.running.saturating_add(load.waiting));
    if in_flight.is_some()
        && let Err(error) = reconcile(context, leadership, vm)
    {
        tracing::warn!(event = "order_failed", vm = vm.name, %error);
    }
    Sample {
        vm: vm.name.clone(),
        in_flight,
    }
}

fn reconcile(context: &Context, leadership: &Leadership, vm: &Vm) -> Result<(), Failure> {
    // without the store only fencing tokens tell orders of a successor from those of this daemon
    if leadership.store_status() == StoreStatus::Unreachable && vm.fencing == Fencing::Ignored {
        return Ok(());
    }
    let last_order = match context.engines.last_order(&vm.address) {
        Ok(last_order) => last_order,
        // the engine does not support orders
        Err(error) if error.kind == FailureKind::Unknown => return Ok(()),
        Err(error) => return Err(error),
    };
    let desired = DesiredState {
        model: vm.service.clone(),
        adapter: String::new(),
        version: String::new(),
        role: ROLE.to_owned(),
    };
    let now = Instant::now();
    let Some(term) = leadership.term(now) else {
        return Ok(());
    };
    match order(&desired, Some(&last_order), vm.fencing, &term, now) {
        Step::InSync | Step::Wait(_) | Step::Renew => Ok(()),
        Step::Send(next) => {
            if !leadership.may_order(Instant::now()) {
                return Ok(());
            }
            tracing::info!(
                event = "order",
                vm = vm.name,
                model = next.model,
                fence = next.fence
            );
            context.engines.order(&vm.address, &next)
        }
        Step::Superseded(fence) => {
            tracing::warn!(event = "superseded", vm = vm.name, fence, own = term.fence);
            leadership.mark_superseded();
            Ok(())
        }
    }
}
