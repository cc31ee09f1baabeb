use std::time::Duration;

use tokio::time::Instant;

/// time after which a follower that left its first choice tries it again: a daemon that is gone
/// has left the members by then
const RETURN_TIME: Duration = Duration::from_secs(8);

/// which daemon of its group a follower asks
///
/// The watcher and its standby come first in the order, and followers are spread over them. A follower moves on
/// to the next daemon when one doesn't answer or has only old state, so that it finds those that
/// reach the store even if both have lost it.
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

    /// index of the daemon to ask among `count` daemons, of which the first `preferred` are
    /// preferred; `draw` is the follower's own number
    pub fn index(
        &mut self,
        count: usize,
        preferred: usize,
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
        let preferred = preferred.clamp(1, count);
        let first = usize::try_from(draw % preferred as u64).unwrap_or(0);
        if self.offset < preferred {
            return Some((first + self.offset) % preferred);
        }
        // beyond these, each follower begins at another daemon
        let others = count - preferred;
        if others == 0 {
            return Some((first + self.offset) % preferred);
        }
        let start = usize::try_from(draw % others as u64).unwrap_or(0);
        Some(preferred + (start + self.offset - preferred) % others)
    }

    /// moves on to the next daemon
    pub fn advance(&mut self, now: Instant) {
        self.offset += 1;
        self.left_at.get_or_insert(now);
    }
}
