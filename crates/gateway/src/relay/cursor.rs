use std::time::Duration;

use tokio::time::Instant;

/// time after which a follower that left its first choice tries it again
const RETURN_TIME: Duration = Duration::from_secs(5);

/// which daemon of its group a follower asks
///
/// The watchers come first in the order, and followers are spread over them. A follower moves on
/// to the next daemon when one doesn't answer or has only old state, so that it finds those that
/// reach the store even if all watchers have lost it.
#[derive(Debug, Default)]
pub struct Cursor {
    offset: usize,
    left_at: Option<Instant>,
}

impl Cursor {
    /// creates a cursor at the first choice
    pub fn new() -> Cursor {
        Cursor::default()
    }

    /// index of the daemon to ask among `count` daemons, of which the first `watchers` are
    /// preferred; `draw` is the follower's own number
    pub fn index(
        &mut self,
        count: usize,
        watchers: usize,
        draw: u64,
        now: Instant,
    ) -> Option<usize> {
        if count == 0 {
            return None;
        }
        if self.left_at.is_some_and(|at| now >= at + RETURN_TIME) {
            self.offset = 0;
            self.left_at = None;
        }
        let watchers = watchers.clamp(1, count);
        let first = usize::try_from(draw % watchers as u64).unwrap_or(0);
        if self.offset < watchers {
            return Some((first + self.offset) % watchers);
        }
        // beyond the watchers, each follower begins at another daemon
        let others = count - watchers;
        if others == 0 {
            return Some((first + self.offset) % watchers);
        }
        let start = usize::try_from(draw % others as u64).unwrap_or(0);
        Some(watchers + (start + self.offset - watchers) % others)
    }

    /// moves on to the next daemon
    pub fn advance(&mut self, now: Instant) {
        self.offset += 1;
        self.left_at.get_or_insert(now);
    }
}
