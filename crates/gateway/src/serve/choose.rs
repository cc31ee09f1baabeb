//! Choice of a VM for a request, with its log line.

use std::rc::Rc;
use std::time::Duration;

use route::placement::{Choice, Pick, TimeLimit};
use tokio::time::Instant;

use super::admission;
use super::attempt::Attempts;
use super::request::Request;
use super::{Failure, Reason};
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::quarantine;
use crate::shared::Shared;

/// `Retry-After` when a service has no VM: about the time a VM takes to register
const NO_VM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// chooses a VM and excludes it from further choices for the request
///
/// The first choice for a request also counts the request as demand.
///
/// # Errors
/// When no VM can take the request in time.
pub(super) fn choose<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    attempts: &mut Attempts,
    time_limit: TimeLimit,
) -> Result<(Rc<Vm>, Pick), Failure> {
    if let Some(failure) = quarantine::refusal(shared, request.causes()) {
        return Err(failure);
    }
    shared.refresh_rollouts();
    let placement_request = request.placement_request(&attempts.tried, time_limit);
    let now = Instant::now();
    let mut balancer = shared.placement.borrow_mut();
    let choice = balancer.choose(&placement_request, now);
    if attempts.tried.is_empty() {
        let uncached = match &choice {
            Choice::Send(pick) => pick.uncached,
            Choice::Full(_) | Choice::NoVm => request.unshared_tokens(),
        };
        balancer.record_demand(&request.service, uncached, now);
        admission::record(shared, request, &choice, uncached);
    }
    let vms = balancer.vm_count(&request.service);
    drop(balancer);
    log_choice(shared, request, time_limit, &choice, vms);
    match choice {
        Choice::Send(pick) => {
            let removed = Failure::with_retry_after(Reason::NoVm, NO_VM_RETRY_AFTER);
            let vm = shared.vm(&pick).ok_or(removed)?;
            attempts.tried.push(vm.id.clone());
            count_prompt(shared, request, &pick);
            Ok((vm, pick))
        }
        Choice::Full(full) => Err(admission::refuse(shared, request, &full)),
        // VMs of an earlier version do not return, so that the caller need not wait for one
        Choice::NoVm if request.origin.is_some() => Err(Failure::new(Reason::NoVersion)),
        Choice::NoVm => Err(Failure::with_retry_after(Reason::NoVm, NO_VM_RETRY_AFTER)),
    }
}

/// how the shared parts of a prompt reach the VM
fn prompt_choice(pick: &Pick) -> &'static str {
    match (&pick.fetch, pick.cached) {
        (Some(_), _) => "fetched",
        (None, 0) => "prefilled",
        (None, _) => "held",
    }
}

/// counts the choice for a prompt with shared parts in the metrics
fn count_prompt<D: Dialect>(shared: &Shared<D>, request: &Request, pick: &Pick) {
    if request.parts.len() < 2 {
        return;
    }
    let kind = prompt_choice(pick);
    let fetched = pick.fetch.as_ref().map_or(0, |fetch| fetch.tokens);
    let saved = u64::from(pick.cached) + u64::from(fetched);
    let wait = pick.expected.saturating_sub(pick.unloaded);
    let labels = [request.service.as_str(), kind];
    let metrics = &shared.metrics;
    metrics.prompts.with_label_values(&labels).inc();
    let tokens = &metrics.prompt_tokens_saved;
    tokens.with_label_values(&labels).inc_by(saved);
    let waits = &metrics.prompt_wait_ms;
    waits
        .with_label_values(&labels)
        .inc_by(wait.as_millis() as u64);
}

fn log_choice<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    time_limit: TimeLimit,
    choice: &Choice,
    vms: usize,
) {
    let (kind, vm, expected, uncached) = match choice {
        Choice::Send(pick) => (
            "vm_chosen",
            Some(&pick.id),
            pick.expected,
            Some(pick.uncached),
        ),
        Choice::Full(full) => ("vms_full", Some(&full.id), full.expected, None),
        Choice::NoVm => ("vms_none", None, Duration::ZERO, None),
    };
    let pick = match choice {
        Choice::Send(pick) => Some(pick),
        Choice::Full(_) | Choice::NoVm => None,
    };
    let Some(left_out) = shared.permit_log(kind) else {
        return;
    };
    tracing::info!(
        event = kind,
        request = request.call.id,
        workspace = request.workspace.as_ref().map(|workspace| &workspace.name),
        service = request.service,
        vm,
        version = vm.and_then(|id| shared.vms.borrow().get(id).map(|vm| vm.version.clone())),
        first_attempt = request.call.first_attempt,
        expected_ms = expected.as_millis() as u64,
        patience_ms = time_limit.total.as_millis() as u64,
        prompt_tokens = request.call.prompt_tokens(),
        output_tokens = request.call.output_tokens(),
        uncached_tokens = uncached,
        cached_tokens = pick.map(|pick| pick.cached),
        excess_ms = pick.map(|pick| pick.excess.as_millis() as u64),
        prompt = pick.map(prompt_choice),
        fetch_from = pick.and_then(|pick| Some(&pick.fetch.as_ref()?.from)),
        fetch_tokens = pick.and_then(|pick| Some(pick.fetch.as_ref()?.tokens)),
        priority = request.priority(),
        vms,
        left_out,
    );
}
