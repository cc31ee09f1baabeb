//! The rules of a lease, without I/O.

use std::time::Duration;

use schema::objects::Lease;
use tokio::time::Instant;

/// times of a lease
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// time a successor waits without a new version
    pub ttl: Duration,
    /// part of it that the holder does not use
    pub margin: Duration,
    /// age of a term's last renewal at which it is renewed
    pub renew: Duration,
    /// how often one that waits reads the lease
    pub poll: Duration,
}

impl Timing {
    /// a tenth as margin, renewal after a third, a look every quarter
    pub fn new(ttl: Duration) -> Self {
        Timing {
            ttl,
            margin: ttl / 10,
            renew: ttl / 3,
            poll: ttl / 4,
        }
    }
}

/// a term as holder
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// fencing number
    pub fence: u64,
    /// the term may be used before this instant only
    pub until: Instant,
    renew_at: Instant,
}

impl Term {
    /// the fencing number while the term is valid
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        (now < self.until).then_some(self.fence)
    }
}

/// a state of the object as it was read
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// version of the object, or of the list that lacks it
    pub version: u64,
    /// the content; `None` if there is no object
    pub spec: Option<Lease>,
}

/// a conditional change to be sent
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// version it replaces
    pub base: u64,
    /// whether the object is to be created
    pub create: bool,
    /// the new content
    pub spec: Lease,
}

/// what to do next
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// read the object
    Read,
    /// send the change
    Write(Write),
    /// nothing before this instant
    Wait(Instant),
}

/// a change whose end is not known yet
#[derive(Debug, Clone)]
struct Pending {
    write: Write,
    sent: Instant,
    uncertain: bool,
    conflicted: bool,
}

/// a state and since when it is known
#[derive(Debug, Clone)]
struct Known {
    seen: Seen,
    since: Instant,
    read_at: Instant,
}

/// the state of one who wants or holds a lease
#[derive(Debug, Clone)]
pub struct Machine {
    instance: String,
    timing: Timing,
    term: Option<Term>,
    pending: Option<Pending>,
    known: Option<Known>,
    floor: u64,
    leaving: bool,
}

impl Machine {
    /// one who has seen nothing yet
    pub fn new(instance: &str, timing: Timing) -> Self {
        Machine {
            instance: instance.to_owned(),
            timing,
            term: None,
            pending: None,
            known: None,
            floor: 0,
            leaving: false,
        }
    }

    /// the term, valid or lapsed
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// the fencing number while the term is valid
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        self.term.and_then(|term| term.fence_if_valid(now))
    }

    /// whether a release is through, or there was nothing to release
    pub fn is_released(&self) -> bool {
        self.leaving && self.term.is_none() && self.pending.is_none()
    }

    /// what to do; `nonce` is used if a new change begins, and its time counts from `now`
    pub fn next(&mut self, now: Instant, nonce: &str) -> Action {
        if let Some(pending) = &self.pending {
            return if pending.conflicted {
                Action::Read
            } else {
                Action::Write(pending.write.clone())
            };
        }
        if self.leaving {
            return Action::Wait(now + self.timing.ttl);
        }
        let Some(known) = &self.known else {
            return Action::Read;
        };
        if let Some(term) = self.term {
            if now < term.renew_at {
                return Action::Wait(term.renew_at);
            }
            let base = known.seen.version;
            return self.begin(base, false, self.spec(nonce, term.fence), now);
        }
        let ready_at = self.ready_at(known);
        if now < ready_at {
            let read_at = known.read_at + self.timing.poll;
            if now >= read_at {
                return Action::Read;
            }
            return Action::Wait(read_at.min(ready_at));
        }
        let base = known.seen.version;
        let create = known.seen.spec.is_none();
        self.begin(base, create, self.spec(nonce, base + 1), now)
    }

    /// gives the lease back; the term ends at once
    pub fn release(&mut self, now: Instant, nonce: &str) {
        self.leaving = true;
        let term = self.term.take();
        if self.pending.is_some() {
            return;
        }
        if let (Some(term), Some(known)) = (term, &self.known) {
            let base = known.seen.version;
            let mut spec = self.spec(nonce, term.fence);
            spec.holder.clear();
            self.begin(base, false, spec, now);
        }
    }

    /// the object was read in this state
    pub fn on_read(&mut self, seen: Seen, now: Instant) {
        if seen.version < self.floor {
            return;
        }
        if !self.settle(&seen) {
            return;
        }
        self.learn(seen, now);
    }

    /// the change took effect and gave this version
    pub fn on_written(&mut self, version: u64, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.land(&pending);
        let seen = Seen {
            version,
            spec: Some(pending.write.spec),
        };
        self.learn(seen, now);
    }

    /// the change met another version
    pub fn on_conflict(&mut self) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.uncertain {
            pending.conflicted = true;
            return;
        }
        self.lose();
    }

    /// the change may have taken effect; the same change is to be sent again
    pub fn on_unknown(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.uncertain = true;
        }
    }

    /// the change was certainly not made
    pub fn on_not_run(&mut self) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.uncertain)
        {
            self.pending = None;
        }
    }

    fn spec(&self, nonce: &str, fence: u64) -> Lease {
        Lease {
            holder: self.instance.clone(),
            nonce: nonce.to_owned(),
            fence,
            ttl_ms: u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn begin(&mut self, base: u64, create: bool, spec: Lease, now: Instant) -> Action {
        let write = Write { base, create, spec };
        self.pending = Some(Pending {
            write: write.clone(),
            sent: now,
            uncertain: false,
            conflicted: false,
        });
        Action::Write(write)
    }

    /// when the state that is known may be replaced
    fn ready_at(&self, known: &Known) -> Instant {
        match &known.seen.spec {
            Some(spec) if !spec.holder.is_empty() => {
                let told = Duration::from_millis(spec.ttl_ms);
                known.since + told.max(self.timing.ttl)
            }
            _ => known.since,
        }
    }

    /// decides a pending change by a read; false if the read is too old to tell
    fn settle(&mut self, seen: &Seen) -> bool {
        let Some(pending) = &self.pending else {
            return true;
        };
        let base = pending.write.base;
        let shows_later = seen.version > base && (seen.spec.is_some() || !pending.write.create);
        if !shows_later {
            return false;
        }
        let nonce = seen.spec.as_ref().map(|spec| spec.nonce.as_str());
        if nonce == Some(pending.write.spec.nonce.as_str()) {
            let landed = pending.clone();
            self.pending = None;
            self.land(&landed);
        } else {
            self.lose();
        }
        true
    }

    /// notes that a change took effect; its time counts from when it was first sent
    fn land(&mut self, pending: &Pending) {
        let spec = &pending.write.spec;
        if self.leaving || spec.holder.is_empty() {
            self.term = None;
            return;
        }
        self.term = Some(Term {
            fence: spec.fence,
            until: pending.sent + (self.timing.ttl - self.timing.margin),
            renew_at: pending.sent + self.timing.renew,
        });
    }

    /// notes that somebody else changed the object
    fn lose(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.floor = self.floor.max(pending.write.base + 1);
        }
        self.term = None;
        self.known = None;
    }

    fn learn(&mut self, seen: Seen, now: Instant) {
        self.floor = self.floor.max(seen.version);
        let since = match &self.known {
            Some(known) if known.seen == seen => known.since,
            _ => now,
        };
        self.known = Some(Known {
            seen,
            since,
            read_at: now,
        });
    }
}
