use macro_rules_attribute::apply;
use schema::value;

/// a connection whose peer has stalled
#[apply(value!)]
pub struct Candidate {
    /// its number
    pub id: u64,
    /// bytes that it holds
    pub held: usize,
    /// intervals without sufficient progress
    pub quiet_ticks: u32,
}

/// the connections to end so that this many bytes become free, those that hold most before
/// others, so that few are ended; none if all of them together do not suffice
pub fn select(mut candidates: Vec<Candidate>, needed: usize) -> Vec<u64> {
    let total = candidates
        .iter()
        .fold(0_usize, |sum, candidate| sum.saturating_add(candidate.held));
    if total < needed {
        return Vec::new();
    }
    candidates.sort_by_key(|candidate| (candidate.held, candidate.quiet_ticks));
    let mut ids = Vec::new();
    let mut freed = 0_usize;
    while freed < needed
        && let Some(candidate) = candidates.pop()
    {
        freed = freed.saturating_add(candidate.held);
        ids.push(candidate.id);
    }
    ids
}
