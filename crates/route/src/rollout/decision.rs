use macro_rules_attribute::apply;
use schema::{data, message, value};

/// whether the new version is bad
#[apply(value!)]
pub enum Verdict {
    /// not known yet
    Undecided,
    /// at least as good as the old one, until the deadline
    Good,
    /// worse than the old one; final for this request
    Bad,
}

/// state of a roll-out as the operator sees it
#[apply(message!)]
#[derive(Copy, Eq, Hash)]
pub enum State {
    /// requests go to both versions
    InProgress,
    /// all requests go to the new version, and the old VMs may stop
    Completed,
    /// all requests go to the old version
    RolledBack,
}

/// what is worse at the new version
#[apply(value!)]
pub enum Fault {
    /// server errors of its VMs
    Failures,
    /// time to the first event or response
    Slowness,
}

/// strongest difference between the versions, for the log
#[apply(data!)]
#[derive(Copy)]
pub struct Finding {
    /// what differs
    pub fault: Fault,
    /// the route as in the evidence; none for all routes together
    pub route: Option<u8>,
    /// samples of the new version
    pub samples: u64,
    /// those of them that are failed or slow
    pub affected: u64,
    /// the number of these expected from the old version over the same seconds
    pub expected: f64,
    /// logarithm of how much better a bad version explains the samples than bad VMs do
    pub weight: f64,
}

/// decision of a daemon on its next requests and on the state of the roll-out
#[apply(data!)]
#[derive(Copy)]
pub struct Decision {
    /// share of the requests that goes to the new version
    pub share: f64,
    /// whether the new version is bad
    pub verdict: Verdict,
    /// the state to be written by the leader
    pub state: State,
    /// strongest difference between the versions, if there are enough samples
    pub finding: Option<Finding>,
}
