//! What a writer remembers of one shard, and one round of reading, deciding and writing.

use schema::objects::{Answer, Segment, Shard};

use super::cold::{self, Cold};
use super::key::Held;
use super::op::{Op, Reply};
use super::page::{Changes, Page, Unused};
use super::queue::Job;
use crate::client::{Client, Object};
use crate::error::Error;

/// most objects without use that one sweep removes
const REMOVED_AT_ONCE: usize = 8;

/// a claim whose caller has left or was told of a failure, to be taken out
#[derive(Debug, Clone)]
struct Abandoned {
    held: Held,
    /// the update that may still enter it replaces this version
    base: u64,
}

/// one shard
#[derive(Debug)]
pub(super) struct Cache {
    name: String,
    client: Client,
    page: Option<Page>,
    /// versions below are stale
    floor: u64,
    cold: Cold,
    abandoned: Vec<Abandoned>,
    unused: Vec<Unused>,
    /// whether the store takes no merge patches
    whole: bool,
}

/// what one round does
struct Plan {
    page: Page,
    changes: Changes,
    replies: Vec<Reply>,
    /// write even if nothing changes
    force: bool,
}

impl Cache {
    /// nothing is known yet
    pub(super) fn new(name: &str, client: &Client) -> Self {
        Cache {
            name: name.to_owned(),
            client: client.clone(),
            page: None,
            floor: 0,
            cold: Cold::default(),
            abandoned: Vec::new(),
            unused: Vec::new(),
            whole: false,
        }
    }

    /// bytes of the remembered page, about
    pub(super) fn bytes(&self) -> usize {
        self.page.as_ref().map_or(0, Page::bytes)
    }

    /// whether there is something to take out or remove
    pub(super) fn needs_sweep(&self) -> bool {
        !self.abandoned.is_empty() || !self.unused.is_empty()
    }

    /// forgets the page, which is read again when needed
    pub(super) fn forget(&mut self) {
        self.page = None;
    }

    /// notes a claim that has to be taken out; the update that may still enter it replaces `base`
    pub(super) fn abandon(&mut self, held: &Held, base: u64) {
        let held = held.clone();
        self.abandoned.push(Abandoned { held, base });
    }

    /// reads if needed, decides, and writes what changes; `base` is set to
    /// the version that a write replaces
    pub(super) fn round(
        &mut self,
        jobs: &[Job],
        now_ms: u64,
        base: &mut u64,
    ) -> Result<Vec<Reply>, Error> {
        let mut plan = self.plan(jobs, now_ms)?;
        if plan.replies.iter().any(Reply::needs_fresh) {
            self.forget();
            plan = self.plan(jobs, now_ms)?;
        }
        if plan.changes.claims.is_empty() && !plan.force {
            return Ok(plan.replies);
        }
        *base = plan.page.version;
        self.commit(plan)
    }

    /// removes objects without use; what fails stays behind and does no harm
    pub(super) fn remove_unused(&mut self) {
        let count = self.unused.len().min(REMOVED_AT_ONCE);
        for unused in self.unused.drain(..count) {
            let removed = match &unused {
                Unused::Answer(name) => self.client.delete::<Answer>(name, None),
                Unused::Segment(name) => cold::remove(&self.client, name),
                Unused::Unlisted(name) => self.client.delete::<Segment>(name, None),
            };
            if let Err(error) = removed {
                tracing::debug!(event = "unused_object_left", ?unused, %error);
            }
        }
    }

    /// decides all jobs, after abandoned claims are out
    fn plan(&mut self, jobs: &[Job], now_ms: u64) -> Result<Plan, Error> {
        let mut page = match &self.page {
            Some(page) => page.clone(),
            None => self.read()?,
        };
        page.expire(now_ms);
        if let Err(error) = self.cold.load(&self.client, &page.segments) {
            // The list may be old and name a segment that is gone.
            self.page = None;
            return Err(error);
        }
        let mut changes = Changes::default();
        let force = self.take_out(&page, &mut changes);
        let mut replies = Vec::with_capacity(jobs.len());
        for job in jobs {
            let ask = (&job.op, now_ms);
            replies.push(page.decide(&mut changes, &self.cold, &job.held, ask));
        }
        Ok(Plan {
            page,
            changes,
            replies,
            force,
        })
    }

    /// reads the page, not older than it was seen before
    fn read(&mut self) -> Result<Page, Error> {
        let read = self.client.get::<Shard>(&self.name)?;
        let page = read.map_or_else(Page::default, Page::from);
        if page.version < self.floor {
            return Err(Error::Stale);
        }
        self.floor = page.version;
        self.page = Some(page.clone());
        Ok(page)
    }

    /// adds the removal of abandoned claims; true if an update is needed to be
    /// sure that none of them can still be entered
    fn take_out(&mut self, page: &Page, changes: &mut Changes) -> bool {
        for claim in &self.abandoned {
            page.decide(changes, &self.cold, &claim.held, (&Op::Release, 0));
        }
        self.abandoned.retain(|claim| {
            claim.base >= page.version || changes.claims.contains_key(&claim.held.key)
        });
        !self.abandoned.is_empty()
    }

    /// writes a plan's changes and remembers the result
    fn commit(&mut self, mut plan: Plan) -> Result<Vec<Reply>, Error> {
        let moved = self.move_finished(&plan.page, &mut plan.changes);
        let written = self.write(&plan.page, &plan.changes);
        let version = match written {
            Ok(version) => version,
            Err(error) => {
                self.learn(&error, plan.page.version);
                if let (Error::Conflict | Error::Exists, Some((name, _))) = (&error, moved) {
                    // The update that would have listed the segment did not take effect.
                    self.unused.push(Unused::Unlisted(name));
                }
                return Err(error);
            }
        };
        if let Some((name, segment)) = moved {
            self.cold.note(&name, &segment);
        }
        self.unused.extend(plan.page.commit(plan.changes, version));
        self.floor = self.floor.max(version);
        self.page = Some(plan.page);
        self.abandoned.clear();
        Ok(plan.replies)
    }

    /// writes finished claims to a segment if the page has grown large; they
    /// leave the page with the update at hand
    fn move_finished(&self, page: &Page, changes: &mut Changes) -> Option<(String, Segment)> {
        let segment = page.movable(changes)?;
        let reference = match cold::write(&self.client, &segment) {
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
        let mut segments = page.segments.clone();
        segments.push(reference);
        changes.segments = Some(segments);
        Some((name, segment))
    }

    fn write(&mut self, page: &Page, changes: &Changes) -> Result<u64, Error> {
        if page.version > 0 && !self.whole {
            let patch = page.patch(changes);
            match self.client.merge::<Shard>(&self.name, page.version, &patch) {
                Err(Error::Refused {
                    code: 405 | 415, ..
                }) => self.whole = true,
                other => return other,
            }
        }
        let mut object = Object::new(&self.name, page.shard(changes));
        object.version = page.version;
        if page.version == 0 {
            self.client.create(&object)
        } else {
            self.client.update(&object)
        }
    }

    /// draws the conclusion of a failed write
    fn learn(&mut self, error: &Error, base: u64) {
        match error {
            Error::Conflict | Error::Exists => {
                self.floor = self.floor.max(base + 1);
                self.page = None;
            }
            Error::Missing => {
                self.floor = 0;
                self.page = None;
            }
            _ => {}
        }
    }
}
