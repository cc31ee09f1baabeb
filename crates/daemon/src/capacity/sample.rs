//! One engine: its load, and the order that it should have.

use engine::{Failure, FailureKind};
use entry::Context;
use fleet::StoreStatus;
use fleet::order::{DesiredState, Step, order};
use macro_rules_attribute::apply;
use route::table::Vm;
use schema::config::Fencing;
use tokio::time::Instant;

use super::tenure::Tenure;

/// role of every engine
const ROLE: &str = "mixed";

/// what one engine said
#[apply(schema::data!)]
pub struct Sample {
    /// name of its VM
    pub vm: String,
    /// requests that run or wait on it; `None` if it did not answer
    pub in_flight: Option<u32>,
}

/// asks an engine for its load and has it load the model of its service
pub fn visit(context: &Context, tenure: &Tenure, vm: &Vm) -> Sample {
    let load = context.engines.load(&vm.address);
    let in_flight = load
        .ok()
        .map(|load| load.running.saturating_add(load.waiting));
    if in_flight.is_some()
        && let Err(error) = settle(context, tenure, vm)
    {
        tracing::warn!(event = "order_failed", vm = vm.name, %error);
    }
    Sample {
        vm: vm.name.clone(),
        in_flight,
    }
}

fn settle(context: &Context, tenure: &Tenure, vm: &Vm) -> Result<(), Failure> {
    // without the store a successor's orders can only be told by their numbers
    if tenure.store() == StoreStatus::Unreachable && vm.fencing == Fencing::Ignored {
        return Ok(());
    }
    let seen = match context.engines.last_order(&vm.address) {
        Ok(seen) => seen,
        // an engine that takes no orders
        Err(error) if error.kind == FailureKind::Unknown => return Ok(()),
        Err(error) => return Err(error),
    };
    let wanted = DesiredState {
        model: vm.service.clone(),
        adapter: String::new(),
        version: String::new(),
        role: ROLE.to_owned(),
    };
    let now = Instant::now();
    let Some(term) = tenure.term(now) else {
        return Ok(());
    };
    match order(&wanted, Some(&seen), vm.fencing, &term, now) {
        Step::InSync | Step::Wait(_) | Step::Renew => Ok(()),
        Step::Send(put) => {
            if !tenure.permits(Instant::now()) {
                return Ok(());
            }
            tracing::info!(
                event = "order",
                vm = vm.name,
                model = put.model,
                fence = put.fence
            );
            context.engines.order(&vm.address, &put)
        }
        Step::Superseded(fence) => {
            tracing::warn!(event = "superseded", vm = vm.name, fence, own = term.fence);
            tenure.superseded();
            Ok(())
        }
    }
}
