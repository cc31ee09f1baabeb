//! Changes of loads since the last reports.
//!
//! Load pattern: tens of daemons share a hundred engines, prompts differ in length by a factor of thirty, and
//! reports are a second old. At 0.7 of the engines' capacity a third of the requests was late behind long
//! prompts that other daemons had sent within that second, while other engines were idle. A report
//! holds the load of every VM; what has changed within a tenth of a second is short. So each daemon
//! sends its changes in between, and those that a report does not contain yet are added to it.
//!
//! Lost changes do no harm for long: each report replaces what is known.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use macro_rules_attribute::apply;
use schema::message;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// prompt tokens in a unit of an engine's work; a request is one unit at other VMs
pub(super) const TOKENS_PER_UNIT: u64 = 64;

/// bytes of a VM's key and of its change in a message
const KEY_BYTES: usize = 4;
const CHANGE_BYTES: usize = KEY_BYTES + 2;

/// time without changes after which they count as interrupted, and loads as old as the reports
const INTERRUPTION: Duration = Duration::from_millis(600);

/// longest time for which changes are kept
const RETENTION: Duration = Duration::from_secs(3);

/// age of a load when it arrives in a report, in report intervals: of this zone, and of others, whose reports
/// pass two delegates
const ZONE_REPORT_AGE: f64 = 0.5;
const REMOTE_REPORT_AGE: f64 = 1.35;

/// change of the work at a VM
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// hash of the VM's instance id
    pub vm: u32,
    /// added units of work
    pub units: i32,
}

/// changes of the work at VMs, serialised as text of eight characters each
#[apply(message!)]
#[derive(Default)]
#[serde(try_from = "String", into = "String")]
pub struct Changes(pub Vec<Change>);

impl From<Changes> for String {
    fn from(changes: Changes) -> String {
        let mut bytes = Vec::with_capacity(changes.0.len() * CHANGE_BYTES);
        for change in &changes.0 {
            let units = change.units.clamp(i16::MIN.into(), i16::MAX.into()) as i16;
            bytes.extend_from_slice(&change.vm.to_le_bytes());
            bytes.extend_from_slice(&units.to_le_bytes());
        }
        STANDARD_NO_PAD.encode(bytes)
    }
}

impl TryFrom<String> for Changes {
    type Error = String;

    fn try_from(text: String) -> Result<Changes, String> {
        let bytes = STANDARD_NO_PAD
            .decode(&text)
            .map_err(|error| error.to_string())?;
        if bytes.len() % CHANGE_BYTES != 0 {
            return Err(format!(
                "{} bytes are no whole number of changes of {CHANGE_BYTES} bytes",
                bytes.len()
            ));
        }
        let changes = bytes.chunks_exact(CHANGE_BYTES).map(|chunk| {
            let mut vm = [0; KEY_BYTES];
            vm.copy_from_slice(&chunk[..KEY_BYTES]);
            let units = i16::from_le_bytes([chunk[KEY_BYTES], chunk[KEY_BYTES + 1]]);
            Change {
                vm: u32::from_le_bytes(vm),
                units: units.into(),
            }
        });
        Ok(Changes(changes.collect()))
    }
}

/// key of a VM in messages
pub(super) fn key(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// changes of some time
#[derive(Debug, Clone)]
struct Batch {
    received_at: Instant,
    is_remote: bool,
    changes: Vec<Change>,
}

/// what peers have changed at VMs since their reports
#[derive(Debug, Clone, Default)]
pub(super) struct Recent {
    batches: VecDeque<Batch>,
    units: HashMap<u32, i64>,
    received_at: Option<Instant>,
}

impl Recent {
    /// adds changes of peers, of this zone or of another one
    pub fn add(&mut self, changes: Vec<Change>, is_remote: bool, now: Instant) {
        self.received_at = Some(now);
        for change in &changes {
            *self.units.entry(change.vm).or_default() += i64::from(change.units);
        }
        self.batches.push_back(Batch {
            received_at: now,
            is_remote,
            changes,
        });
    }

    /// leaves out what a report contains that has just arrived
    pub fn rebase(&mut self, report_interval: Duration, now: Instant) {
        let is_kept = |batch: &Batch| now < batch.received_at + RETENTION;
        while self.batches.front().is_some_and(|batch| !is_kept(batch)) {
            self.batches.pop_front();
        }
        self.units.clear();
        for batch in &self.batches {
            let intervals = if batch.is_remote {
                REMOTE_REPORT_AGE
            } else {
                ZONE_REPORT_AGE
            };
            if now < batch.received_at + report_interval.mul_f64(intervals) {
                for change in &batch.changes {
                    *self.units.entry(change.vm).or_default() += i64::from(change.units);
                }
            }
        }
    }

    /// time since the last changes; none if they are interrupted
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.received_at?);
        (age < INTERRUPTION).then_some(age)
    }

    /// units by which the work at a VM has changed
    pub fn units(&self, vm: u32) -> i64 {
        self.units.get(&vm).copied().unwrap_or_default()
    }
}
