use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// time for which the largest number of members counts: longer than a partition is expected to last
const LARGEST_TTL: Duration = Duration::from_secs(60);

/// the part of all daemons that this one can reach
#[derive(Debug, Default)]
pub struct Reach {
    /// largest number of members and when it was last seen
    largest: Cell<Option<(usize, Instant)>>,
}

impl Reach {
    /// part of what all daemons may do together that this daemon and those it reaches may do
    ///
    /// It is 1 for a majority; on the smaller side of a partition it is the part of its daemons, since
    /// the other side does the rest.
    pub fn part(&self, members: usize, now: Instant) -> f64 {
        let (mut largest, seen_at) = self.largest.get().unwrap_or((members, now));
        if members >= largest || now > seen_at + LARGEST_TTL {
            largest = members;
            self.largest.set(Some((members, now)));
        }
        let is_majority = 2 * members > largest;
        let fraction = members as f64 / largest.max(1) as f64;
        if is_majority { 1.0 } else { fraction }
    }

    /// records how many daemons are known otherwise, such as by their entries in the object API
    pub fn record(&self, daemons: usize, now: Instant) {
        if self
            .largest
            .get()
            .is_none_or(|(largest, _)| daemons > largest)
        {
            self.largest.set(Some((daemons, now)));
        }
    }
}
