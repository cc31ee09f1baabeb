use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::Rng;
use route::rollout::{Decision, Evidence, Order, State};
use tokio::time::Instant;

use super::entry::Entry;
use super::source::{Part, Sources};

/// shortest time between two reports with evidence to the same peer
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(800);

/// seconds of evidence in a report between full ones
const PART_S: u32 = 4;

/// reports of which about one has all evidence
const FULL_EVERY: u32 = 5;

/// a request that is carried out, or was
#[derive(Debug)]
pub(super) struct Active {
    /// the object, as it was last read or written
    pub entry: Entry,
    pub order: Order,
    /// when a daemon saw the request first, by the clock that includes suspension
    pub seen_at: Instant,
    /// time of the request by the time of day of the daemon that wrote a checkpoint, milliseconds since
    /// the Unix epoch
    pub saved_ms: Option<u64>,
    /// time of the request, the earlier one of these
    pub started_at: Instant,
    /// responses to this daemon
    pub evidence: Evidence,
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
    /// when evidence was last sent to a peer; the report of this daemon goes to several
    pub sent_at: HashMap<String, Instant>,
    /// whether its object is missing since the store was restored
    pub is_lost: bool,
}

impl Active {
    /// a request that is seen now
    pub fn new(entry: Entry, now: Instant) -> Active {
        Active {
            order: entry.order(),
            entry,
            seen_at: now,
            saved_ms: None,
            started_at: now,
            evidence: Evidence::new(),
            sources: Sources::default(),
            end: None,
            rejected: None,
            decision: None,
            vms: HashSet::new(),
            age: Duration::MAX,
            replaced: Vec::new(),
            sent_at: HashMap::new(),
            is_lost: false,
        }
    }

    /// sets the time of the request anew: the time of day may have been corrected since
    pub fn refresh_start(&mut self, now: Instant, now_ms: u64) {
        let saved = self.saved_ms.and_then(|saved| {
            let elapsed = Duration::from_millis(now_ms.saturating_sub(saved));
            now.checked_sub(elapsed)
        });
        self.started_at = saved.map_or(self.seen_at, |saved| saved.min(self.seen_at));
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

    /// the part of the evidence for the next report to a receiver: none if the last one was just
    /// now, all of it at random, for daemons that have started or lost messages
    pub fn next_part(&mut self, receiver: &str, now: Instant) -> Part {
        let last = self.sent_at.get(receiver);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < MIN_SEND_INTERVAL) {
            return Part::None;
        }
        self.sent_at.insert(receiver.to_owned(), now);
        if rand::rng().random_ratio(1, FULL_EVERY) {
            return Part::All;
        }
        let elapsed_s = u32::try_from(self.elapsed(now).as_secs()).unwrap_or(u32::MAX);
        Part::Since(elapsed_s.saturating_sub(PART_S))
    }

    /// takes over how a peer numbers the request
    pub fn adopt(&mut self, id: u64, request: u64, is_certain: bool) {
        if self.entry.adopt(id, request, is_certain) {
            self.order.id = id;
        }
    }
}
