//! A writer's cached state of a shard, and updates of the shard.

use schema::objects::{Answer, Segment, Shard};

use super::key::Handle;
use super::op::{Op, Reply};
use super::queue::Job;
use super::segment::{self, SegmentIndex};
use super::shard::{Changes, State, Unused};
use crate::client::{Client, Object};
use crate::error::Error;

/// maximum unreferenced objects that one sweep removes
const MAX_REMOVALS_PER_SWEEP: usize = 8;

/// a claim to be removed, because its caller timed out or got an error
#[derive(Debug, Clone)]
struct Abandoned {
    handle: Handle,
    /// version that is replaced by the update which may still add the claim
    base_version: u64,
}

/// a shard with its cached state and pending removals
#[derive(Debug)]
pub(super) struct CachedShard {
    name: String,
    client: Client,
    state: Option<State>,
    /// older versions are stale
    min_version: u64,
    index: SegmentIndex,
    abandoned: Vec<Abandoned>,
    unused: Vec<Unused>,
    /// whether the store does not support merge patches
    merge_unsupported: bool,
}

/// decisions of one attempt
struct Plan {
    state: State,
    changes: Changes,
    replies: Vec<Reply>,
    /// write even if there are no changes
    force_write: bool,
}

impl CachedShard {
    /// a shard that was not read yet
    pub(super) fn new(name: &str, client: &Client) -> Self {
        CachedShard {
            name: name.to_owned(),
            client: client.clone(),
            state: None,
            min_version: 0,
            index: SegmentIndex::default(),
            abandoned: Vec::new(),
            unused: Vec::new(),
            merge_unsupported: false,
        }
    }

    /// approximate size of the cached state
    pub(super) fn bytes(&self) -> usize {
        self.state.as_ref().map_or(0, State::bytes)
    }

    /// whether there are claims or objects to be removed
    pub(super) fn needs_sweep(&self) -> bool {
        !self.abandoned.is_empty() || !self.unused.is_empty()
    }

    /// drops the cached state, which is read again when needed
    pub(super) fn invalidate(&mut self) {
        self.state = None;
    }

    /// schedules the removal of a claim; the update that may still add it replaces `base_version`
    pub(super) fn abandon(&mut self, handle: &Handle, base_version: u64) {
        let handle = handle.clone();
        self.abandoned.push(Abandoned {
            handle,
            base_version,
        });
    }

    /// reads the shard if it is not cached, decides all jobs and writes the changes; sets
    /// `base_version` to the version that a write replaces
    pub(super) fn attempt(
        &mut self,
        jobs: &[Job],
        now_ms: u64,
        base_version: &mut u64,
    ) -> Result<Vec<Reply>, Error> {
        let mut plan = self.plan(jobs, now_ms)?;
        if plan.replies.iter().any(Reply::needs_fresh_read) {
            self.invalidate();
            plan = self.plan(jobs, now_ms)?;
        }
        if plan.changes.claims.is_empty() && !plan.force_write {
            return Ok(plan.replies);
        }
        *base_version = plan.state.version;
        self.commit(plan)
    }

    /// removes unreferenced objects; those that can't be removed stay and do no harm
    pub(super) fn remove_unused(&mut self) {
        let count = self.unused.len().min(MAX_REMOVALS_PER_SWEEP);
        for unused in self.unused.drain(..count) {
            let removed = match &unused {
                Unused::Answer(name) => self.client.delete::<Answer>(name, None),
                Unused::Segment(name) => segment::remove(&self.client, name),
                Unused::Unlisted(name) => self.client.delete::<Segment>(name, None),
            };
            if let Err(error) = removed {
                tracing::debug!(event = "unused_object_left", ?unused, %error);
            }
        }
    }

    /// decides all jobs, after the removal of abandoned claims
    fn plan(&mut self, jobs: &[Job], now_ms: u64) -> Result<Plan, Error> {
        let mut state = match &self.state {
            Some(state) => state.clone(),
            None => self.read()?,
        };
        state.expire(now_ms);
        if let Err(error) = self.index.refresh(&self.client, &state.segments) {
            // The list may be outdated and contain a removed segment.
            self.state = None;
            return Err(error);
        }
        let mut changes = Changes::default();
        let force_write = self.remove_abandoned(&state, &mut changes);
        let mut replies = Vec::with_capacity(jobs.len());
        for job in jobs {
            let operation = (&job.op, now_ms);
            replies.push(state.decide(&mut changes, &self.index, &job.handle, operation));
        }
        Ok(Plan {
            state,
            changes,
            replies,
            force_write,
        })
    }

    /// reads the shard; rejects a state that is older than the last known one
    fn read(&mut self) -> Result<State, Error> {
        let read = self.client.get::<Shard>(&self.name)?;
        let state = read.map_or_else(State::default, State::from);
        if state.version < self.min_version {
            return Err(Error::Stale);
        }
        self.min_version = state.version;
        self.state = Some(state.clone());
        Ok(state)
    }

    /// adds the removal of abandoned claims; true if the shard must be written even without
    /// changes, so that no earlier update can still add one of them
    fn remove_abandoned(&mut self, state: &State, changes: &mut Changes) -> bool {
        for claim in &self.abandoned {
            state.decide(changes, &self.index, &claim.handle, (&Op::Release, 0));
        }
        self.abandoned.retain(|claim| {
            claim.base_version >= state.version || changes.claims.contains_key(&claim.handle.key)
        });
        !self.abandoned.is_empty()
    }

    /// writes a plan's changes and caches the result
    fn commit(&mut self, mut plan: Plan) -> Result<Vec<Reply>, Error> {
        let moved = self.move_finished(&plan.state, &mut plan.changes);
        let written = self.write(&plan.state, &plan.changes);
        let version = match written {
            Ok(version) => version,
            Err(error) => {
                self.on_write_error(&error, plan.state.version);
                if let (Error::Conflict | Error::AlreadyExists, Some((name, _))) = (&error, moved) {
                    // The update that would have listed the segment did not take effect.
                    self.unused.push(Unused::Unlisted(name));
                }
                return Err(error);
            }
        };
        if let Some((name, segment)) = moved {
            self.index.insert(&name, &segment);
        }
        self.unused.extend(plan.state.apply(plan.changes, version));
        self.min_version = self.min_version.max(version);
        self.state = Some(plan.state);
        self.abandoned.clear();
        Ok(plan.replies)
    }

    /// writes finished claims of a large shard to a segment and adds their removal from the
    /// shard to `changes`
    fn move_finished(&self, state: &State, changes: &mut Changes) -> Option<(String, Segment)> {
        let segment = state.segment_to_move(changes)?;
        let reference = match segment::write(&self.client, &segment) {
            Ok(reference) => reference,
            Err(error) => {
                tracing::warn!(event = "claims_not_moved", shard = %self.name, %error);
                return None;
            }
        };
        for key in segment.claims.keys() {
            changes.claims.insert(key.clone(), None);
        }
        let name = reference.name.clone();
        let mut segments = state.segments.clone();
        segments.push(reference);
        changes.segments = Some(segments);
        Some((name, segment))
    }

    fn write(&mut self, state: &State, changes: &Changes) -> Result<u64, Error> {
        if state.version > 0 && !self.merge_unsupported {
            let patch = state.patch(changes);
            match self
                .client
                .merge_patch::<Shard>(&self.name, state.version, &patch)
            {
                Err(Error::Rejected {
                    code: 405 | 415, ..
                }) => self.merge_unsupported = true,
                other => return other,
            }
        }
        let mut object = Object::new(&self.name, state.spec(changes));
        object.version = state.version;
        if state.version == 0 {
            self.client.create(&object)
        } else {
            self.client.update(&object)
        }
    }

    /// updates the cached state after a failed write
    fn on_write_error(&mut self, error: &Error, base_version: u64) {
        match error {
            Error::Conflict | Error::AlreadyExists => {
                self.min_version = self.min_version.max(base_version + 1);
                self.state = None;
            }
            Error::NotFound => {
                self.min_version = 0;
                self.state = None;
            }
            _ => {}
        }
    }
}
