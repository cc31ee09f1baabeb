//! Admission: is the request to be run, and where.

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
use crate::stage::Phase;

/// wait that a daemon asks for while it stops
const STOPPING_WAIT: Duration = Duration::from_secs(1);
/// longest deadline that a caller may ask for
const LONGEST_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// how urgent a request is
#[derive(Debug, Clone, Copy)]
pub(super) struct Urgency {
    /// 0 lowest, 9 highest
    pub(super) priority: u8,
    /// when it is given up on
    pub(super) deadline: Instant,
    /// target for its first token
    pub(super) first_token: Duration,
}

/// a request that is to be run
pub(super) struct Admitted {
    /// its share of the workspace's limits
    pub(super) permit: limit::Permit,
    /// the upstream VM for its first attempt
    pub(super) pick: Pick,
}

/// refuses requests while the daemon starts or stops
pub(super) fn stage(context: &Context) -> Result<(), Fault> {
    let message = match context.stage.get() {
        Phase::Serving | Phase::Draining => return Ok(()),
        Phase::Starting => "The daemon has no configuration yet.",
        Phase::Closing => "The daemon is stopping.",
    };
    Err(Fault::refused(503, "stage", message).after(STOPPING_WAIT))
}

/// priority and deadline from the headers, within what is declared
pub(super) fn urgency(
    headers: &Headers,
    workspace: &Workspace,
    service: &Service,
    now: Instant,
) -> Result<Urgency, Fault> {
    let asked = headers
        .number("x-priority")?
        .unwrap_or(u64::from(workspace.priority));
    if asked > 9 {
        return Err(Fault::refused(
            400,
            "header",
            "X-Priority must be from 0 to 9.",
        ));
    }
    let priority = workspace.priority.min(asked as u8);
    let time = headers
        .number("x-deadline-ms")?
        .unwrap_or(service.deadline_ms);
    if time == 0 {
        return Err(Fault::refused(
            400,
            "header",
            "X-Deadline-Ms must be above 0.",
        ));
    }
    let deadline = now + Duration::from_millis(time).min(LONGEST_DEADLINE);
    let target = u64::from(service.first_token_ms);
    let first_token = headers
        .number("x-first-token-ms")?
        .unwrap_or(target)
        .max(target);
    let first_token = Duration::from_millis(first_token).min(LONGEST_DEADLINE);
    Ok(Urgency {
        priority,
        deadline,
        first_token,
    })
}

/// admits a request within the limits and chooses its first upstream VM
pub(super) fn admit(
    context: &Context,
    workspace: &str,
    ask: &Request<'_>,
) -> Result<Admitted, Fault> {
    let now = Instant::now();
    let expected = ask.prompt_tokens.saturating_add(ask.max_tokens);
    let permit = context
        .limits
        .admit(workspace, expected, ask.priority, now)
        .map_err(|refusal| fault(&refusal))?;
    match choose(context, ask, now) {
        Ok(pick) => Ok(Admitted { permit, pick }),
        Err(fault) => {
            context.limits.settle(permit, 0, now);
            Err(fault)
        }
    }
}

fn choose(context: &Context, ask: &Request<'_>, now: Instant) -> Result<Pick, Fault> {
    let mut rng = rand::rng();
    let call = overload::Request {
        service: ask.service,
        priority: ask.priority,
        wait: context
            .routes
            .expected_wait(ask.service, now)
            .unwrap_or_default(),
        first_token: ask.first_token,
        deadline: ask.deadline.saturating_duration_since(now),
    };
    // The gate comes first: a pick already counts on the blocks it will cache.
    let admitted = context.gate.admit(&call, &mut rng, now);
    admitted.map_err(|refusal| fault(&refusal))?;
    let pick = context.routes.pick(ask, &mut rng, now);
    pick.map_err(|refusal| fault(&refusal))
}

/// a refusal as the caller sees it
fn fault(refusal: &Refusal) -> Fault {
    use route::Reason;
    let status = match refusal.reason {
        Reason::UnknownService => 404,
        Reason::UnknownWorkspace => 401,
        Reason::TokenLimit | Reason::ConcurrencyLimit => 429,
        Reason::NoUpstream | Reason::Deadline | Reason::Overload | Reason::Preset => 503,
    };
    let fault = Fault::refused(status, refusal.reason.code(), refusal.reason.message());
    match refusal.retry_after {
        Some(wait) => fault.after(wait),
        None => fault,
    }
}
