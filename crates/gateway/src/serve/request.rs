use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use memory::Hold;
use route::origin::Origin;
use route::placement::{Kind, engine_priority};
use tokio::time::Instant;

use super::Deadline;
use crate::model::{Call, Route, Workspace};

/// number of route priorities distinguished within one workspace priority
const ROUTE_PRIORITIES: u8 = 3;

/// highest urgency value, that of the least urgent requests
const MAX_URGENCY: u8 = 9;

/// an admitted request
pub(crate) struct Request {
    /// request head
    pub head: Parts,
    /// decoded head
    pub call: Call,
    /// complete body
    pub body: Bytes,
    /// memory of the caller's connection
    pub hold: Rc<Hold>,
    /// matching route
    pub route: Rc<Route>,
    /// name of the service, one of the targets of the route
    pub service: String,
    /// kinds of request of the service
    pub kinds: Rc<[Kind]>,
    /// authenticated workspace; none if the route needs no key
    pub workspace: Option<Rc<Workspace>>,
    /// hash of the request id; spreads requests evenly over services and equivalent VMs
    pub hash: u64,
    /// hash of host, path, caller and body, the same when the request is sent again
    pub fingerprint: u64,
    /// where its stream began, once that is known; it goes on at this version only
    pub origin: Option<Origin>,
    /// ids and token counts of the parts of the prompt
    pub parts: Vec<(u64, u32)>,
    /// when the head was received
    pub arrived: Instant,
    /// when it fails unless it has a response
    pub deadline: Deadline,
}

impl Request {
    /// what may be quarantined: the shared parts of the prompt, and the whole request
    pub fn causes(&self) -> impl Iterator<Item = u64> {
        let parts = self.call.shared_parts();
        parts.chain(std::iter::once(self.fingerprint))
    }

    /// priority, 0 is the highest: that of the workspace, otherwise that of the route
    pub fn priority(&self) -> u8 {
        let workspace_priority = self
            .workspace
            .as_ref()
            .and_then(|workspace| workspace.priority);
        workspace_priority.unwrap_or(self.route.priority)
    }

    /// tokens of the last part of the prompt, which no other request shares
    pub fn unshared_tokens(&self) -> u32 {
        self.parts
            .last()
            .map_or(self.call.prompt_tokens(), |(_, tokens)| *tokens)
    }

    /// urgency sent to VMs: ordered by workspace priority, then by route priority or by the time that the
    /// prompt takes
    pub fn urgency(&self, prefill: Duration) -> u8 {
        let kind = Kind {
            priority: self.route.priority,
            objective: self.route.objective,
        };
        let within = engine_priority(kind, &self.kinds, prefill);
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        let base = priority.unwrap_or(within).saturating_mul(ROUTE_PRIORITIES);
        let within = within.min(ROUTE_PRIORITIES - 1);
        base.saturating_add(within).min(MAX_URGENCY)
    }

    /// id of the caller's attempt that brought the first event of the stream: this one, unless it
    /// resumes a stream
    pub fn first_attempt(&self) -> &str {
        self.call.first_attempt.as_deref().unwrap_or(&self.call.id)
    }

    /// time for which the caller may come back
    pub fn caller_time_left(&self) -> Duration {
        let limit = self.call.time_limit.unwrap_or(self.route.timeout);
        limit.saturating_sub(self.arrived.elapsed())
    }

    /// time left until the time-out of the caller or of the route
    pub fn time_left(&self) -> Duration {
        let timeout_at = self.deadline.timeout_at();
        timeout_at.saturating_duration_since(Instant::now())
    }
}
