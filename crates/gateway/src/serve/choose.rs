//! Choosing a VM for a request, and saying why.

use std::rc::Rc;
use std::time::Duration;

use route::place::{Choice, Patience, Pick, return_after};
use tokio::time::Instant;

use super::attempt::Tries;
use super::request::Request;
use super::{Own, Reason};
use crate::model::Vm;
use crate::seam::Dialect;
use crate::shared::Shared;

/// time to come back when a service has no VM: about as long as one takes to register
const NO_VM_WAIT: Duration = Duration::from_secs(1);

/// chooses a VM, counts the request as demand at its first choice, and notes the VM as tried
///
/// # Errors
/// The answer when there is no VM that can take the request in time.
pub(super) fn choose<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    tries: &mut Tries,
    patience: Patience,
) -> Result<(Rc<Vm>, Pick), Own> {
    let ask = request.ask(&tries.avoid, patience);
    let now = Instant::now();
    let mut board = shared.placement.borrow_mut();
    let choice = board.choose(&ask, now);
    if tries.avoid.is_empty() {
        let unread = match &choice {
            Choice::Send(pick) => pick.uncached,
            Choice::Full(_) | Choice::Nobody => request.own_tokens(),
        };
        board.offer(&request.service, unread, now);
    }
    let vms = board.count(&request.service);
    drop(board);
    note(shared, request, patience, &choice, vms);
    match choice {
        Choice::Send(pick) => {
            let gone = Own::after(Reason::NoVm, NO_VM_WAIT);
            let vm = shared.vm(&pick).ok_or(gone)?;
            tries.avoid.push(vm.id.clone());
            Ok((vm, pick))
        }
        Choice::Full(full) => {
            let wait = return_after(request.priority(), full.room);
            Err(Own::after(Reason::Full, wait))
        }
        Choice::Nobody => Err(Own::after(Reason::NoVm, NO_VM_WAIT)),
    }
}

fn note<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    patience: Patience,
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
        Choice::Nobody => ("vms_none", None, Duration::ZERO, None),
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
        expected_ms = expected.as_millis() as u64,
        patience_ms = patience.total.as_millis() as u64,
        prompt_tokens = request.call.prompt_tokens(),
        output_tokens = request.call.output_tokens(),
        uncached_tokens = uncached,
        priority = request.priority(),
        vms,
        left_out,
    );
}
