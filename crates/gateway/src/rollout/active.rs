use std::collections::HashSet;
use std::time::Duration;

use route::rollout::{Decision, Evidence, Order, State};
use tokio::time::Instant;

use super::entry::Entry;
use super::source::Sources;

/// a request that is carried out, or was
#[derive(Debug)]
pub(super) struct Active {
    /// the object, as it was last read or written
    pub entry: Entry,
    pub order: Order,
    /// time of the request, by the clock that includes suspension
    pub started_at: Instant,
    /// whether that time is from a daemon that saw the request, not from a checkpoint
    pub is_start_known: bool,
    /// responses to this daemon
    pub evidence: Evidence,
    /// latest second of that evidence
    pub latest_s: u32,
    pub sources: Sources,
    /// how it ended, once that has been written or can't change any more
    pub end: Option<State>,
    /// why it has no effect, if it has none
    pub rejected: Option<&'static str>,
    /// last decision
    pub decision: Option<Decision>,
    /// VMs of the new version that get requests
    pub vms: HashSet<String>,
    /// time since the state of most daemons was known, at the last decision
    pub age: Duration,
    /// versions that were in use before it was completed
    pub replaced: Vec<String>,
    /// whether its object is missing since the store was restored
    pub is_lost: bool,
}

impl Active {
    /// a request that was made at a time
    pub fn new(entry: Entry, order: Order, started_at: Instant) -> Active {
        Active {
            entry,
            order,
            started_at,
            is_start_known: true,
            evidence: Evidence::new(),
            latest_s: 0,
            sources: Sources::default(),
            end: None,
            rejected: None,
            decision: None,
            vms: HashSet::new(),
            age: Duration::MAX,
            replaced: Vec::new(),
            is_lost: false,
        }
    }

    /// time since the request
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// whether both versions are in use
    pub fn is_in_progress(&self) -> bool {
        self.end.is_none() && self.rejected.is_none()
    }

    /// the state to write, if there is one that the object does not have
    pub fn due_state(&self) -> Option<State> {
        let decided = self.decision.map(|decision| decision.state);
        let state = self.end.or(decided)?;
        let is_due = !self.is_lost && !self.entry.has_ended() && self.entry.state() != Some(state);
        is_due.then_some(state)
    }

    /// whether this daemon may still send new requests to the versions before
    pub fn is_sending(&self) -> bool {
        self.decision.is_none_or(|decision| decision.share < 1.0)
    }

    /// takes over how a peer numbers the request and when it learned of it
    pub fn adopt(&mut self, id: u64, request: u64, is_certain: bool) {
        if self.entry.adopt(id, request, is_certain) {
            self.order.id = id;
        }
    }
}
