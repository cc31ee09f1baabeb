use std::time::Duration;

use macro_rules_attribute::apply;
use schema::data;

/// interval at which progress is compared
pub const TICK: Duration = Duration::from_millis(250);

/// intervals without sufficient progress after which a peer may lose its memory to others: one
/// second, above the pause of a connection that lost two packets in turn (0.2 and 0.4 s)
const STALLED_TICKS: u32 = 4;

/// intervals without any progress after which an unfinished body is ended even if nobody needs its
/// memory: 5 s, above the pause after four packets lost in turn (3 s)
const SILENT_TICKS: u32 = 20;

/// fraction of what a peer holds that it has to transfer in an interval, so that it takes no
/// longer than 64 s for all of it
const SUFFICIENT_FRACTION: u64 = 256;

/// bytes that are sufficient progress in an interval for any size
const MIN_PROGRESS_BYTES: u64 = 64;

/// progress of one peer over the last intervals
#[apply(data!)]
#[derive(Default)]
pub struct Stall {
    transferred: u64,
    quiet_ticks: u32,
    silent_ticks: u32,
}

impl Stall {
    /// records an interval; `transferred` is the total of bytes up to now
    pub fn record(&mut self, transferred: u64, held: usize, is_awaited: bool) {
        let progress = transferred.saturating_sub(self.transferred);
        self.transferred = transferred;
        let sufficient = (held as u64 / SUFFICIENT_FRACTION).max(MIN_PROGRESS_BYTES);
        let count = |ticks: u32, is_without| if is_without { ticks + 1 } else { 0 };
        self.quiet_ticks = count(self.quiet_ticks, is_awaited && progress < sufficient);
        self.silent_ticks = count(
            self.silent_ticks,
            is_awaited && progress < MIN_PROGRESS_BYTES,
        );
    }

    /// begins anew, when the process waits for something else from the peer
    pub fn reset(&mut self) {
        self.quiet_ticks = 0;
        self.silent_ticks = 0;
    }

    /// number of intervals without sufficient progress
    pub fn quiet_ticks(&self) -> u32 {
        self.quiet_ticks
    }

    /// whether its memory may be given to others
    pub fn is_stalled(&self) -> bool {
        self.quiet_ticks >= STALLED_TICKS
    }

    /// whether it has sent nothing for so long that it is ended in any case
    pub fn is_silent(&self) -> bool {
        self.silent_ticks >= SILENT_TICKS
    }
}
