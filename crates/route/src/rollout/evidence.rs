use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use macro_rules_attribute::apply;
use schema::{message, value};
use xxhash_rust::xxh3::xxh3_64;

use super::sample::Sample;

/// number of ranges of the ratio of a time to the expected one
pub(super) const RATIOS: usize = 42;

/// upper end of the lowest range
const LOWEST_RATIO: f64 = 0.25;

/// ranges in which the ratio doubles: a limit is met to 4.5 %, so that twice the time of the old
/// version is told from three times
const RATIOS_PER_OCTAVE: f64 = 8.0;

/// groups into which the VMs of the new version are divided by a hash: so many that few canary VMs
/// share one, as a group with one slow VM among others looks like a bad version
const GROUPS: u8 = 200;

/// seconds that are kept apart at least; twice the longest delay of evidence is enough for the
/// comparison
const RECENT_S: u32 = 32;

/// seconds that are merged into one count afterwards
const MERGED_S: u32 = 16;

/// largest number of cells; 6 routes over 10 minutes need about 4,000 with 6 canary VMs
const MAX_CELLS: usize = 6144;

/// bytes of the largest accepted text
const MAX_BYTES: usize = 256 * 1024;

/// counts of responses by second since the request, version and route
///
/// Those of the new version are divided into groups of VMs. Seconds are kept apart for the latest
/// 32 s and merged to 16 s before that; the result does not depend on the order of additions.
/// Serialised as one text of about ten characters for a cell.
#[apply(message!)]
#[derive(Default)]
#[serde(try_from = "String", into = "String")]
pub struct Evidence {
    /// latest second that was recorded or added
    latest: u32,
    cells: BTreeMap<Cell, Counts>,
}

/// responses that are counted together
#[apply(value!)]
pub(super) struct Cell {
    /// second since the request, or the first one of those that are merged
    pub second: u32,
    /// group of VMs of the new version; none for the old version
    pub group: Option<u8>,
    /// route, as the low byte of its hash
    pub route: u8,
}

/// counts of responses
#[apply(value!)]
pub(super) struct Counts {
    /// all responses
    pub answered: u32,
    /// server errors among them
    pub failed: u32,
    /// others by the ratio of their time to the expected one, where it is known
    pub ratios: [u32; RATIOS],
}

impl Default for Counts {
    fn default() -> Counts {
        Counts {
            answered: 0,
            failed: 0,
            ratios: [0; RATIOS],
        }
    }
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.answered = self.answered.saturating_add(other.answered);
        self.failed = self.failed.saturating_add(other.failed);
        for (count, more) in self.ratios.iter_mut().zip(&other.ratios) {
            *count = count.saturating_add(*more);
        }
    }
}

impl Evidence {
    /// returns empty evidence
    pub fn new() -> Evidence {
        Evidence::default()
    }

    /// records a response that came in this second since the request for the roll-out
    ///
    /// It is the second of the response, not that of sending: otherwise a recent second would have fast
    /// responses only, which hide the slow ones before them. `route` is a hash of the route.
    pub fn record(&mut self, second: u32, is_target: bool, route: u64, sample: &Sample<'_>) {
        let mut counts = Counts {
            answered: 1,
            ..Counts::default()
        };
        if sample.is_failed {
            counts.failed = 1;
        } else if let Some(ratio) = sample.ratio.filter(|ratio| ratio.is_finite()) {
            counts.ratios[range(ratio)] = 1;
        }
        let group = is_target.then(|| (xxh3_64(sample.vm.as_bytes()) % u64::from(GROUPS)) as u8);
        let cell = Cell {
            second,
            group,
            route: route as u8,
        };
        self.add_counts(cell, &counts);
    }

    /// adds evidence of other daemons
    pub fn add(&mut self, other: &Evidence) {
        self.advance(other.latest);
        for (cell, counts) in &other.cells {
            self.add_counts(*cell, counts);
        }
    }

    /// the part from a second on, for a report between full ones
    ///
    /// It lies within the latest 16 s, so that [`Evidence::replace`] finds the seconds apart.
    pub fn since(&self, second: u32) -> Evidence {
        let second = second.max(self.latest.saturating_sub(MERGED_S));
        let cells = self.cells.range(first_cell(second)..);
        Evidence {
            latest: self.latest,
            cells: cells.map(|(cell, counts)| (*cell, *counts)).collect(),
        }
    }

    /// takes over a later part of the same daemon's evidence
    pub fn replace(&mut self, part: &Evidence) {
        for (cell, counts) in &part.cells {
            self.cells.remove(cell);
            self.add_counts(*cell, counts);
        }
        self.advance(part.latest);
    }

    /// whether nothing is recorded
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// number of cells, for logs and metrics
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// requests a second, up to the latest one; none without any
    pub(super) fn rate(&self) -> Option<f64> {
        let answered: u64 = self
            .cells
            .values()
            .map(|counts| u64::from(counts.answered))
            .sum();
        (answered > 0).then(|| answered as f64 / (f64::from(self.latest) + 1.0))
    }

    pub(super) fn latest(&self) -> u32 {
        self.latest
    }

    pub(super) fn cells(&self) -> impl Iterator<Item = (&Cell, &Counts)> {
        self.cells.iter()
    }

    fn add_counts(&mut self, mut cell: Cell, counts: &Counts) {
        self.advance(cell.second);
        if cell.second < merged_until(self.latest) {
            cell.second -= cell.second % MERGED_S;
        }
        self.cells.entry(cell).or_default().add(counts);
        while self.cells.len() > MAX_CELLS {
            self.cells.pop_first();
        }
    }

    /// takes note of a second, and merges those that are old by then
    fn advance(&mut self, second: u32) {
        if second <= self.latest {
            return;
        }
        let merged = first_cell(merged_until(self.latest));
        self.latest = second;
        let kept = self.cells.split_off(&first_cell(merged_until(second)));
        let apart = self.cells.split_off(&merged);
        for (mut cell, counts) in apart {
            cell.second -= cell.second % MERGED_S;
            self.cells.entry(cell).or_default().add(&counts);
        }
        self.cells.extend(kept);
    }
}

/// second before which seconds are merged
fn merged_until(latest: u32) -> u32 {
    latest.saturating_sub(RECENT_S) / MERGED_S * MERGED_S
}

/// the range that begins closest to a ratio
pub(super) fn nearest_range(ratio: f64) -> usize {
    let above = (ratio / LOWEST_RATIO).log2() * RATIOS_PER_OCTAVE;
    (above.round() + 1.0).clamp(1.0, (RATIOS - 1) as f64) as usize
}

/// the ratio at a part of a range
pub(super) fn ratio_in(range: usize, part: f64) -> f64 {
    LOWEST_RATIO * ((range as f64 - 1.0 + part) / RATIOS_PER_OCTAVE).exp2()
}

/// the range of a ratio
fn range(ratio: f64) -> usize {
    if ratio < LOWEST_RATIO {
        return 0;
    }
    let above = (ratio / LOWEST_RATIO).log2() * RATIOS_PER_OCTAVE;
    (1 + above as usize).min(RATIOS - 1)
}

fn first_cell(second: u32) -> Cell {
    Cell {
        second,
        group: None,
        route: 0,
    }
}

impl From<Evidence> for String {
    fn from(evidence: Evidence) -> String {
        let mut bytes = Vec::with_capacity(8 * evidence.cells.len());
        write(&mut bytes, evidence.latest);
        let mut second = 0;
        for (cell, counts) in &evidence.cells {
            write(&mut bytes, cell.second - second);
            second = cell.second;
            bytes.push(cell.group.map_or(0, |group| group + 1));
            bytes.push(cell.route);
            write(&mut bytes, counts.answered);
            write(&mut bytes, counts.failed);
            let present = |count: &&u32| **count > 0;
            bytes.push(counts.ratios.iter().filter(present).count() as u8);
            for (range, count) in counts.ratios.iter().enumerate() {
                if *count > 0 {
                    bytes.push(range as u8);
                    write(&mut bytes, *count);
                }
            }
        }
        STANDARD_NO_PAD.encode(bytes)
    }
}

impl TryFrom<String> for Evidence {
    type Error = String;

    fn try_from(text: String) -> Result<Evidence, String> {
        if text.len() > MAX_BYTES {
            return Err(format!(
                "evidence of {} bytes, at most {MAX_BYTES} are accepted",
                text.len()
            ));
        }
        let bytes = STANDARD_NO_PAD
            .decode(&text)
            .map_err(|error| error.to_string())?;
        let total = bytes.len();
        let mut rest = bytes.as_slice();
        let evidence = read_evidence(&mut rest);
        evidence.ok_or_else(|| {
            format!(
                "evidence is invalid at byte {} of {total}",
                total - rest.len()
            )
        })
    }
}

fn read_evidence(rest: &mut &[u8]) -> Option<Evidence> {
    let mut evidence = Evidence {
        latest: read(rest)?,
        cells: BTreeMap::new(),
    };
    let mut second = 0u32;
    while !rest.is_empty() {
        second = second.checked_add(read(rest)?)?;
        let group = read_byte(rest, GROUPS)?.checked_sub(1);
        let route = read_byte(rest, u8::MAX)?;
        let mut counts = Counts {
            answered: read(rest)?,
            failed: read(rest)?,
            ..Counts::default()
        };
        for _ in 0..read_byte(rest, RATIOS as u8)? {
            let range = read_byte(rest, RATIOS as u8 - 1)?;
            counts.ratios[usize::from(range)] = read(rest)?;
        }
        let cell = Cell {
            second,
            group,
            route,
        };
        evidence.add_counts(cell, &counts);
    }
    Some(evidence)
}

/// writes seven bits to a byte, the low ones first; the highest bit says that more follow
fn write(bytes: &mut Vec<u8>, mut number: u32) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn read(rest: &mut &[u8]) -> Option<u32> {
    let mut number = 0u64;
    for shift in (0..35).step_by(7) {
        let byte = read_byte(rest, u8::MAX)?;
        number |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return u32::try_from(number).ok();
        }
    }
    None
}

fn read_byte(rest: &mut &[u8], max: u8) -> Option<u8> {
    let (byte, after) = rest.split_first()?;
    *rest = after;
    (*byte <= max).then_some(*byte)
}
