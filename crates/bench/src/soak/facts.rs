//! What was done and seen in a run; times in milliseconds since 1970.

use macro_rules_attribute::apply;
use schema::failure::Verdict;
use schema::{data, value};

use super::schedule::FaultKind;

/// what was asked for
#[apply(value!)]
pub enum CallKind {
    /// a streamed completion
    Stream,
    /// an unstreamed completion
    Whole,
    /// a booking under a key of the caller
    Keyed,
    /// a booking under a ticket
    Ticketed,
    /// a booking without a key
    Unkeyed,
}

/// how a call ended
#[apply(data!)]
pub enum Outcome {
    /// with its whole and own answer
    Whole,
    /// with an answer that is not its own, or not whole
    Wrong(String),
    /// with an error that says whether it ran
    Refused {
        /// what the error said
        verdict: Verdict,
        /// name of the cause
        code: String,
    },
    /// without an answer
    Cut(String),
    /// its daemon took no connection
    Unreached,
}

/// one call
#[apply(data!)]
pub struct Call {
    /// what was asked for
    pub kind: CallKind,
    /// prompt or body, the same for all repeats and for nothing else
    pub name: String,
    /// hash under which the stand-ins record it
    pub hash: u64,
    /// daemon that got it first
    pub daemon: usize,
    /// when it was sent
    pub started: u64,
    /// when its caller was done
    pub ended: u64,
    /// a daemon had taken it on
    pub accepted: bool,
    /// times its caller came back to it
    pub reattached: u32,
    /// how it ended
    pub outcome: Outcome,
}

/// one call that a plain service ran
#[apply(value!)]
pub struct Execution {
    /// hash of its body
    pub hash: u64,
    /// when it ran
    pub at: u64,
}

/// one stream that an engine took
#[apply(data!)]
pub struct Engine {
    /// VM of the engine
    pub vm: String,
    /// name of the stream
    pub request_id: String,
    /// hash of the prompt
    pub hash: u64,
    /// index of the first token generated there
    pub from: u32,
    /// tokens generated there
    pub generated: u32,
    /// tokens computed there again
    pub recomputed: u32,
    /// when it arrived
    pub started: u64,
}

/// the notice of an upstream VM
#[apply(data!)]
pub struct Notice {
    /// the VM
    pub vm: String,
    /// when it was given
    pub at: u64,
    /// when the VM is gone
    pub until: u64,
}

/// a fault from its strike until all was as before
#[apply(value!)]
pub struct Window {
    /// what it was
    pub kind: FaultKind,
    /// daemon that it struck
    pub daemon: Option<usize>,
    /// when it struck
    pub from: u64,
    /// when a killed process had ended; as `from` for other faults
    pub dead: u64,
    /// when it was over
    pub to: u64,
    /// a planned stop ended by itself, and well
    pub clean: bool,
}

/// a look at a daemon's revision
#[apply(value!)]
pub struct Sighting {
    /// the daemon
    pub daemon: usize,
    /// id of its process
    pub process: u32,
    /// revision in force
    pub revision: u64,
}

/// what was in force when the faults were over
#[derive(Default)]
#[apply(data!)]
pub struct Settlement {
    /// last revision accepted
    pub accepted: u64,
    /// changes accepted, in all
    pub changes: u32,
    /// revision of each daemon, none if it did not answer
    pub daemons: Vec<Option<u64>>,
}

/// everything that is judged
#[derive(Default)]
#[apply(data!)]
pub struct Facts {
    /// calls of all callers
    pub calls: Vec<Call>,
    /// what the plain services ran
    pub executions: Vec<Execution>,
    /// what the engines ran
    pub engines: Vec<Engine>,
    /// notices of upstream VMs
    pub notices: Vec<Notice>,
    /// faults
    pub windows: Vec<Window>,
    /// looks at revisions, in order
    pub sightings: Vec<Sighting>,
    /// what was in force at the end
    pub settlement: Settlement,
}

impl Call {
    /// true for a completion
    pub fn is_completion(&self) -> bool {
        matches!(self.kind, CallKind::Stream | CallKind::Whole)
    }

    /// true if it was on its way during a part of the window
    pub fn meets(&self, window: &Window) -> bool {
        self.started <= window.to && window.from <= self.ended
    }

    /// what its error said
    pub fn verdict(&self) -> Option<Verdict> {
        match self.outcome {
            Outcome::Refused { verdict, .. } => Some(verdict),
            _ => None,
        }
    }
}
