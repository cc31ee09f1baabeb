//! Admission of a request: how it stands to the share of its workspace, its limit on the expected
//! time, and its refusal for lack of capacity. The decisions are in `route::fairness` and
//! `route::placement`.

use route::fairness::{Attempt, Standing, work};
use route::placement::{
    Caller, Choice, Full, Kind, Refused, TimeLimit, plain_time_limit, time_limit,
};
use tokio::time::Instant;

use super::request::Request;
use super::{Failure, Reason};
use crate::adapter::Dialect;
use crate::shared::Shared;

impl Request {
    /// this attempt, for the shares of capacity
    fn attempt(&self) -> Attempt<'_> {
        let workspace = self.workspace.as_ref();
        Attempt {
            service: &self.service,
            workspace: workspace.map_or("", |workspace| &workspace.name),
            priority: self.priority(),
            is_repeated: self.caller(Standing::Usual).has_returned(),
        }
    }

    /// number that is uniformly distributed over callers, and the same when a caller sends its
    /// request again; a request without a body may be that of many callers
    fn caller_draw(&self) -> u64 {
        if self.body.is_empty() {
            self.hash
        } else {
            self.fingerprint
        }
    }

    fn standing<D: Dialect>(&self, shared: &Shared<D>) -> Standing {
        let fairness = shared.fairness.borrow();
        fairness.standing(&self.attempt(), self.caller_draw())
    }

    /// the time of its caller
    fn caller(&self, standing: Standing) -> Caller {
        let stated = self.call.time_limit;
        Caller {
            is_resuming: self.call.is_resumed(),
            standing,
            ..Caller::new(stated, self.route.timeout, self.arrived.elapsed())
        }
    }
}

/// limit on the expected time of a request that has not been sent yet
pub(super) fn limit<D: Dialect>(shared: &Shared<D>, request: &Request) -> TimeLimit {
    let standing = request.standing(shared);
    let kind = Kind {
        priority: match standing {
            Standing::Usual => request.route.priority,
            Standing::Within | Standing::Beyond => request.priority(),
        },
        objective: request.route.objective,
    };
    let caller = request.caller(standing);
    if request.route.kind.is_stream() {
        time_limit(kind, &request.kinds, &caller)
    } else {
        plain_time_limit(kind, &request.kinds, &caller)
    }
}

/// counts the first choice for a request
pub(super) fn record<D: Dialect>(
    shared: &Shared<D>,
    request: &Request,
    choice: &Choice,
    uncached: u32,
) {
    let now = Instant::now();
    let is_refused = !matches!(choice, Choice::Send(_));
    let work = work(uncached, request.call.output_tokens());
    let attempt = request.attempt();
    let mut fairness = shared.fairness.borrow_mut();
    fairness.record(&attempt, work, is_refused, now);
    if !is_refused {
        let mut returns = shared.returns.borrow_mut();
        returns.record_admitted(attempt.service, attempt.priority, now);
    }
}

/// counts a response, or the first event of one, to a request
pub(super) fn record_response<D: Dialect>(shared: &Shared<D>, request: &Request, uncached: u32) {
    let work = work(uncached, request.call.output_tokens());
    let is_late = request.arrived.elapsed() > request.route.objective;
    let mut fairness = shared.fairness.borrow_mut();
    fairness.record_response(&request.attempt(), work, is_late, Instant::now());
}

/// the failure of a request for which no VM has capacity in time
pub(super) fn refuse<D: Dialect>(shared: &Shared<D>, request: &Request, full: &Full) -> Failure {
    // before the time that the VMs state, a caller would return in vain
    if full.is_stated {
        return Failure::with_retry_after(Reason::Full, full.available_in);
    }
    let standing = request.standing(shared);
    let refused = Refused {
        available_in: full.available_in,
        left: request.caller(standing).left,
        draw: request.hash,
    };
    let attempt = request.attempt();
    let mut returns = shared.returns.borrow_mut();
    let delay = returns.delay(attempt.service, attempt.priority, &refused, Instant::now());
    drop(returns);
    let reason = if standing == Standing::Beyond {
        log_beyond_share(shared, request);
        Reason::BeyondShare
    } else {
        Reason::Full
    };
    delay.map_or_else(
        || Failure::new(reason),
        |delay| Failure::with_retry_after(reason, delay),
    )
}

fn log_beyond_share<D: Dialect>(shared: &Shared<D>, request: &Request) {
    let Some(left_out) = shared.permit_log("beyond_share") else {
        return;
    };
    let attempt = request.attempt();
    let fairness = shared.fairness.borrow();
    let mut states = fairness.states();
    let Some((_, state)) = states.find(|(service, _)| *service == attempt.service) else {
        return;
    };
    let demand = state.demands.get(attempt.workspace);
    tracing::info!(
        event = "workspace_beyond_share",
        request = request.call.id,
        workspace = attempt.workspace,
        service = attempt.service,
        priority = attempt.priority,
        share = state.fractions.get(attempt.workspace),
        demand = demand.map(|demand| demand.requested.round()),
        served = demand.map(|demand| demand.served.round()),
        capacity = state.capacity.round(),
        workspaces = state.demands.len(),
        left_out,
    );
}
