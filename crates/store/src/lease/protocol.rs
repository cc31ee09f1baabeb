//! The protocol of a lease, without I/O.

use std::time::Duration;

use schema::objects::Lease;
use tokio::time::Instant;

/// durations of a lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// time to live: time without a new version after which a successor may take over
    pub ttl: Duration,
    /// part of the time to live by which the holder's term ends early
    pub margin: Duration,
    /// time after the last renewal at which the holder renews
    pub renew_after: Duration,
    /// interval at which a waiting candidate reads the lease
    pub poll_interval: Duration,
}

impl Timing {
    /// a margin of a tenth of `ttl`, renewal after a third, reads every quarter
    pub fn new(ttl: Duration) -> Self {
        Timing {
            ttl,
            margin: ttl / 10,
            renew_after: ttl / 3,
            poll_interval: ttl / 4,
        }
    }
}

/// a term of the holder
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// fencing token
    pub fence: u64,
    /// end of the term's validity
    pub expires_at: Instant,
    renew_at: Instant,
}

impl Term {
    /// the fencing token while the term is valid
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        (now < self.expires_at).then_some(self.fence)
    }
}

/// state of the object as it was read
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// version of the object, or of the list that does not contain it
    pub version: u64,
    /// the content; `None` if there is no object
    pub spec: Option<Lease>,
}

/// a conditional write
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// version that it replaces
    pub base: u64,
    /// whether the object is to be created
    pub create: bool,
    /// the new content
    pub spec: Lease,
}

/// next step of the caller
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// read the object
    Read,
    /// send the write
    Write(Write),
    /// do nothing before this instant
    Wait(Instant),
}

/// a write whose outcome is not observed yet
#[derive(Debug, Clone)]
struct Pending {
    write: Write,
    /// when it was first sent
    sent_at: Instant,
    /// a copy of it may have taken effect
    may_have_run: bool,
    /// a repeated copy met another version, which may be its own
    conflicted: bool,
}

/// the last read state
#[derive(Debug, Clone)]
struct Observation {
    snapshot: Snapshot,
    /// when this state was first read
    first_read: Instant,
    last_read: Instant,
}

/// state machine of a candidate or holder
#[derive(Debug, Clone)]
pub struct Protocol {
    instance: String,
    timing: Timing,
    term: Option<Term>,
    pending: Option<Pending>,
    observed: Option<Observation>,
    /// older versions are stale
    min_version: u64,
    /// no term may begin before, whatever the object says
    not_before: Option<Instant>,
    releasing: bool,
}

impl Protocol {
    /// a candidate that has not read the lease yet
    pub fn new(instance: &str, timing: Timing) -> Self {
        Protocol {
            instance: instance.to_owned(),
            timing,
            term: None,
            pending: None,
            observed: None,
            min_version: 0,
            not_before: None,
            releasing: false,
        }
    }

    /// the current term, valid or expired
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// the fencing token while the term is valid
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        self.term.and_then(|term| term.fence_if_valid(now))
    }

    /// whether the release is complete, or there was nothing to release
    pub fn is_released(&self) -> bool {
        self.releasing && self.term.is_none() && self.pending.is_none()
    }

    /// the next step; if it is a new write, `nonce` identifies it and its term starts at `now`
    pub fn next(&mut self, now: Instant, nonce: &str) -> Action {
        if let Some(pending) = &self.pending {
            return if pending.conflicted {
                Action::Read
            } else {
                Action::Write(pending.write.clone())
            };
        }
        if self.releasing {
            return Action::Wait(now + self.timing.ttl);
        }
        let Some(observed) = &self.observed else {
            return Action::Read;
        };
        if let Some(term) = self.term {
            if now < term.renew_at {
                return Action::Wait(term.renew_at);
            }
            let base = observed.snapshot.version;
            return self.start_write(base, false, self.spec(nonce, term.fence), now);
        }
        let available_at = self.available_at(observed);
        if now < available_at {
            let next_read = observed.last_read + self.timing.poll_interval;
            if now >= next_read {
                return Action::Read;
            }
            return Action::Wait(next_read.min(available_at));
        }
        let base = observed.snapshot.version;
        let create = observed.snapshot.spec.is_none();
        self.start_write(base, create, self.spec(nonce, base + 1), now)
    }

    /// starts the release; the term ends at once
    pub fn release(&mut self, now: Instant, nonce: &str) {
        self.releasing = true;
        let term = self.term.take();
        if self.pending.is_some() {
            return;
        }
        if let (Some(term), Some(observed)) = (term, &self.observed) {
            let base = observed.snapshot.version;
            let mut spec = self.spec(nonce, term.fence);
            spec.holder.clear();
            self.start_write(base, false, spec, now);
        }
    }

    /// handles a read of the object
    pub fn on_read(&mut self, snapshot: Snapshot, now: Instant) {
        if snapshot.version < self.min_version {
            return;
        }
        if !self.resolve(&snapshot) {
            return;
        }
        self.observe(snapshot, now);
    }

    /// handles a write that took effect and gave the object this version
    pub fn on_written(&mut self, version: u64, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.apply(&pending);
        let snapshot = Snapshot {
            version,
            spec: Some(pending.write.spec),
        };
        self.observe(snapshot, now);
    }

    /// handles a write that was rejected because the object has another version
    pub fn on_conflict(&mut self) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.may_have_run {
            pending.conflicted = true;
            return;
        }
        self.on_other_write();
    }

    /// handles a write that may have taken effect; the same write is sent again
    pub fn on_unknown(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.may_have_run = true;
        }
    }

    /// handles a write that certainly did not take effect
    pub fn on_not_run(&mut self) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.may_have_run)
        {
            self.pending = None;
        }
    }

    /// handles that the store was restored from a copy, which was first seen at `seen_at`
    ///
    /// The object may lack the latest acquisition or renewal, by whatever instance. So the own term
    /// ends, and no term begins until every term that was acquired before has expired. Versions
    /// from `min_version` on belong to the restored store.
    pub fn on_restored(&mut self, min_version: u64, seen_at: Instant) {
        self.term = None;
        self.pending = None;
        self.observed = None;
        self.min_version = min_version;
        self.not_before = Some(seen_at + self.timing.ttl);
    }

    fn spec(&self, nonce: &str, fence: u64) -> Lease {
        Lease {
            holder: self.instance.clone(),
            nonce: nonce.to_owned(),
            fence,
            ttl_ms: u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn start_write(&mut self, base: u64, create: bool, spec: Lease, now: Instant) -> Action {
        let write = Write { base, create, spec };
        self.pending = Some(Pending {
            write: write.clone(),
            sent_at: now,
            may_have_run: false,
            conflicted: false,
        });
        Action::Write(write)
    }

    /// when the observed state may be replaced
    fn available_at(&self, observed: &Observation) -> Instant {
        let available_at = match &observed.snapshot.spec {
            Some(spec) if !spec.holder.is_empty() => {
                let ttl = Duration::from_millis(spec.ttl_ms);
                observed.first_read + ttl.max(self.timing.ttl)
            }
            _ => observed.first_read,
        };
        self.not_before
            .map_or(available_at, |earliest| earliest.max(available_at))
    }

    /// resolves the pending write by a read; false if the read is too old to decide
    fn resolve(&mut self, snapshot: &Snapshot) -> bool {
        let Some(pending) = &self.pending else {
            return true;
        };
        let base = pending.write.base;
        let is_newer =
            snapshot.version > base && (snapshot.spec.is_some() || !pending.write.create);
        if !is_newer {
            return false;
        }
        let nonce = snapshot.spec.as_ref().map(|spec| spec.nonce.as_str());
        if nonce == Some(pending.write.spec.nonce.as_str()) {
            let applied = pending.clone();
            self.pending = None;
            self.apply(&applied);
        } else {
            self.on_other_write();
        }
        true
    }

    /// applies a write that took effect; its term starts when it was first sent
    fn apply(&mut self, pending: &Pending) {
        let spec = &pending.write.spec;
        if self.releasing || spec.holder.is_empty() {
            self.term = None;
            return;
        }
        self.term = Some(Term {
            fence: spec.fence,
            expires_at: pending.sent_at + (self.timing.ttl - self.timing.margin),
            renew_at: pending.sent_at + self.timing.renew_after,
        });
    }

    /// handles a change of the object by another instance
    fn on_other_write(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.min_version = self.min_version.max(pending.write.base + 1);
        }
        self.term = None;
        self.observed = None;
    }

    fn observe(&mut self, snapshot: Snapshot, now: Instant) {
        self.min_version = self.min_version.max(snapshot.version);
        let first_read = match &self.observed {
            Some(observed) if observed.snapshot == snapshot => observed.first_read,
            _ => now,
        };
        self.observed = Some(Observation {
            snapshot,
            first_read,
            last_read: now,
        });
    }
}
