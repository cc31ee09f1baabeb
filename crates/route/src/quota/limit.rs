/// a limit over all daemons, in units per second
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// units per second
    pub rate: f64,
    /// units that may be spent at once
    pub burst: f64,
}

impl Limit {
    /// a part of the limit
    pub fn part(&self, fraction: f64) -> Limit {
        Limit {
            rate: self.rate * fraction,
            burst: self.burst * fraction,
        }
    }
}

/// spending and demand reported by the peers
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerSpending {
    /// units spent since the last report
    pub spent: f64,
    /// units requested per second
    pub demand: f64,
    /// number of daemons, this one included
    pub daemons: usize,
    /// whether some of the peers have not reported yet
    pub is_partial: bool,
}
