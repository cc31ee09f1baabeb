use macro_rules_attribute::apply;
use schema::message;

/// largest number of parts of one crash
pub(super) const MAX_PARTS: usize = 64;

/// end of a VM's process
#[apply(message!)]
pub struct Crash {
    /// the VM's instance id
    pub vm: String,
    /// start of the process, milliseconds since the Unix epoch; 0 if unknown
    pub started_at_ms: u64,
    /// end of the process
    pub at_ms: u64,
    /// shared parts of the prompts whose responses it was about to begin or had just begun
    pub parts: Vec<u64>,
}

/// what is known of one part
#[apply(message!)]
#[derive(Copy, Default)]
pub struct Mark {
    /// id of the part
    pub part: u64,
    /// time of the latest quarantine; 0 if there was none
    pub quarantined_ms: u64,
    /// time up to which crashes do not count, because of a response with the part; 0 if there was
    /// none
    pub refuted_ms: u64,
}

/// crashes and marks that daemons send to each other
#[apply(message!)]
#[derive(Default)]
pub struct Evidence {
    /// crashes
    pub crashes: Vec<Crash>,
    /// marks
    pub marks: Vec<Mark>,
}

impl Mark {
    /// whether the part is quarantined and nothing has refuted that
    pub fn is_active(&self) -> bool {
        self.quarantined_ms > self.refuted_ms
    }

    /// time of the latest change
    pub(super) fn changed_ms(&self) -> u64 {
        self.quarantined_ms.max(self.refuted_ms)
    }
}

impl Evidence {
    /// whether there is nothing to send
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.marks.is_empty()
    }

    /// adds more evidence
    pub fn add(&mut self, other: Evidence) {
        self.crashes.extend(other.crashes);
        self.marks.extend(other.marks);
    }
}
