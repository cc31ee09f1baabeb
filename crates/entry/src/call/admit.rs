//! Admission of requests and selection of the first upstream VM.

use std::time::Duration;

use route::Refusal;
use route::limit;
use route::overload;
use route::table::{Pick, Request};
use schema::config::{Service, Workspace};
use tokio::time::Instant;

use crate::context::Context;
use crate::fault::Fault;
use crate::http::Headers;
use crate::lifecycle::Stage;
use crate::quarantine::Causes;

/// retry delay for callers while the daemon starts or stops
const STAGE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// retry delay while the daemon stops: the load balancer already sends callers to others
const DRAIN_RETRY_AFTER: Duration = Duration::ZERO;
/// longest deadline and first-token target that a caller may ask for
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// priority and time limits of a request
#[derive(Debug, Clone, Copy)]
pub(super) struct Urgency {
    /// from 0, the lowest, to 9
    pub(super) priority: u8,
    /// time at which the request fails if it is not complete
    pub(super) deadline: Instant,
    /// target for the time to the first token
    pub(super) first_token: Duration,
}

impl Urgency {
    /// time left until the deadline
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// an admitted request
pub(super) struct Admitted {
    /// its reservation under the limits of the workspace
    pub(super) permit: limit::Permit,
    /// upstream VM of its first attempt
    pub(super) pick: Pick,
}

/// refuses requests while the daemon starts or stops
pub(super) fn check_stage(context: &Context) -> Result<(), Fault> {
    let message = match context.lifecycle.get() {
        Stage::Serving | Stage::Draining => return Ok(()),
        Stage::Starting => "The daemon has no configuration yet.",
        Stage::Closing => "The daemon is stopping.",
    };
    Err(Fault::not_run(503, "stage", message).with_retry_after(STAGE_RETRY_AFTER))
}

/// refuses a call that the stopping daemon may have no time for and can't hand over
pub(super) fn check_drain(context: &Context, urgency: &Urgency) -> Result<(), Fault> {
    let now = Instant::now();
    if context.lifecycle.admits(now, urgency.time_left()) {
        return Ok(());
    }
    let fault = Fault::not_run(503, "stage", "The daemon is stopping.");
    Err(fault.with_retry_after(DRAIN_RETRY_AFTER))
}

/// priority, deadline and first-token target from the headers, or as declared
///
/// A caller can lower the declared priority and relax the declared first-token target, but
/// not the other way round.
pub(super) fn urgency(
    headers: &Headers,
    workspace: &Workspace,
    service: &Service,
    now: Instant,
) -> Result<Urgency, Fault> {
    let requested = headers
        .number("x-priority")?
        .unwrap_or(u64::from(workspace.priority));
    if requested > 9 {
        return Err(Fault::not_run(
            400,
            "header",
            "X-Priority must be from 0 to 9.",
        ));
    }
    let priority = workspace.priority.min(requested as u8);
    let time = headers
        .number("x-deadline-ms")?
        .unwrap_or(service.deadline_ms);
    if time == 0 {
        return Err(Fault::not_run(
            400,
            "header",
            "X-Deadline-Ms must be above 0.",
        ));
    }
    let deadline = now + Duration::from_millis(time).min(MAX_DEADLINE);
    let target = u64::from(service.first_token_ms);
    let first_token = headers
        .number("x-first-token-ms")?
        .unwrap_or(target)
        .max(target);
    let first_token = Duration::from_millis(first_token).min(MAX_DEADLINE);
    Ok(Urgency {
        priority,
        deadline,
        first_token,
    })
}

/// admits a request under the limits and selects its first upstream VM
pub(super) fn admit(
    context: &Context,
    workspace: &str,
    request: &Request<'_>,
    causes: &Causes<'_>,
) -> Result<Admitted, Fault> {
    if let Some(fault) = context.quarantine.refusal(causes) {
        return Err(fault);
    }
    let now = Instant::now();
    let expected = request.prompt_tokens.saturating_add(request.max_tokens);
    let permit = context
        .limits
        .admit(workspace, expected, request.priority, now)
        .map_err(|refusal| fault(&refusal))?;
    match select(context, request, now) {
        Ok(pick) => Ok(Admitted { permit, pick }),
        Err(fault) => {
            context.limits.settle(permit, 0, now);
            Err(fault)
        }
    }
}

fn select(context: &Context, request: &Request<'_>, now: Instant) -> Result<Pick, Fault> {
    let mut rng = rand::rng();
    let load_request = overload::Request {
        service: request.service,
        priority: request.priority,
        wait: context
            .vms
            .expected_wait(request.service, now)
            .unwrap_or_default(),
        first_token: request.first_token,
        deadline: request.deadline.saturating_duration_since(now),
    };
    // Admission comes first: a selection already records the blocks that the VM will cache.
    let admitted = context.admission.admit(&load_request, &mut rng, now);
    admitted.map_err(|refusal| fault(&refusal))?;
    let pick = context.vms.pick(request, &mut rng, now);
    pick.map_err(|refusal| fault(&refusal))
}

/// error response for a refusal
fn fault(refusal: &Refusal) -> Fault {
    use route::Reason;
    let status = match refusal.reason {
        Reason::UnknownService => 404,
        Reason::UnknownWorkspace => 401,
        Reason::TokenLimit | Reason::ConcurrencyLimit => 429,
        Reason::NoUpstream | Reason::Deadline | Reason::Overload | Reason::Preset => 503,
    };
    let fault = Fault::not_run(status, refusal.reason.code(), refusal.reason.message());
    match refusal.retry_after {
        Some(wait) => fault.with_retry_after(wait),
        None => fault,
    }
}
