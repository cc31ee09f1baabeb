use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use route::placement::Kind;
use tokio::time::Instant;

use crate::model::{Call, Route, Workspace};

/// ranks of routes that are told apart within a rank of workspaces
const ROUTE_RANKS: u8 = 3;

/// urgency of the least urgent requests
const URGENCY_LEAST: u8 = 9;

/// an admitted request
pub(super) struct Request {
    /// its head
    pub head: Parts,
    /// what the head says
    pub call: Call,
    /// its body
    pub body: Bytes,
    /// its route
    pub route: Rc<Route>,
    /// its service
    pub service: String,
    /// the kinds of request of its service
    pub kinds: Rc<[Kind]>,
    /// its workspace, if the route needs one
    pub workspace: Option<Rc<Workspace>>,
    /// a number of the request that is even over all requests
    pub draw: u64,
    /// ids and tokens of the prompt's parts
    pub parts: Vec<(u64, u32)>,
    /// when it came
    pub arrived: Instant,
    /// when its time is up
    pub deadline: Instant,
}

impl Request {
    /// urgency, 0 first: the workspace's, else the route's
    pub fn priority(&self) -> u8 {
        let own = self
            .workspace
            .as_ref()
            .and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// tokens of the prompt that no other request shares
    pub fn own_tokens(&self) -> u32 {
        self.parts
            .last()
            .map_or(self.call.prompt_tokens(), |(_, tokens)| *tokens)
    }

    /// urgency as VMs are told: the workspace's rank first, then the route's
    pub fn urgency(&self) -> u8 {
        let rank = self.priority().saturating_mul(ROUTE_RANKS);
        let within = self.route.priority.min(ROUTE_RANKS - 1);
        rank.saturating_add(within).min(URGENCY_LEAST)
    }

    /// time left
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
