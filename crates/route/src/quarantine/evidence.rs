use macro_rules_attribute::apply;
use schema::message;

/// largest number of parts, and of requests, of one crash
pub(super) const MAX_CAUSES: usize = 64;

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
    /// fingerprints of these requests: the same for a request that is sent again
    #[serde(default)]
    pub requests: Vec<u64>,
}

/// what is known of one part or request
#[apply(message!)]
#[derive(Copy, Default)]
pub struct Mark {
    /// id of the part, or fingerprint of the request
    #[serde(rename = "part")]
    pub id: u64,
    /// whether it is a whole request
    #[serde(default)]
    pub is_request: bool,
    /// time of the latest quarantine; 0 if there was none
    pub quarantined_ms: u64,
    /// time up to which crashes do not count, because of a response with it; 0 if there was
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

impl Crash {
    /// whether nothing that may have caused it is known
    pub fn is_without_causes(&self) -> bool {
        self.parts.is_empty() && self.requests.is_empty()
    }
}

impl Mark {
    /// whether it is quarantined and nothing has refuted that
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
