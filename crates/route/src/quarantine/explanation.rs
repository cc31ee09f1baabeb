//! Which parts and requests explain crashes.

use std::collections::HashSet;

use super::evidence::Crash;
use super::times::{MIN_GAP_MS, Threshold, crash_times};

/// smallest number of causes that crashes must otherwise have for a part to be their explanation: one
/// request that is sent again has the same parts each time
const MIN_OTHER_CAUSES: usize = 3;

/// a part or request that explains crashes
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Explanation {
    pub id: u64,
    pub is_request: bool,
    /// number of crashes
    pub crashes: usize,
}

/// crashes that are not explained by parts, and the requests that explain some of them
#[derive(Debug)]
pub(super) struct Search<'a> {
    crashes: Vec<&'a Crash>,
    requests: HashSet<u64>,
    /// time up to which crashes are settled
    until_ms: u64,
}

impl<'a> Search<'a> {
    pub fn new(crashes: impl Iterator<Item = &'a Crash>, until_ms: u64) -> Search<'a> {
        Search {
            crashes: crashes.collect(),
            requests: HashSet::new(),
            until_ms,
        }
    }

    /// records that a part or request is known to crash VMs
    pub fn explain(&mut self, id: u64, is_request: bool) {
        if is_request {
            self.requests.insert(id);
        } else {
            self.crashes.retain(|crash| !crash.parts.contains(&id));
        }
    }

    /// the part or request that explains most of the crashes, if there are enough of them
    ///
    /// `refuted_ms` is the time up to which crashes do not count for one. One without any known success
    /// goes first, then one with more crashes, then a request.
    pub fn best(&self, refuted_ms: impl Fn(u64) -> u64) -> Option<Explanation> {
        let parts = self.parts(&refuted_ms);
        let requests = self.repeated_requests(&refuted_ms);
        parts.into_iter().chain(requests).max_by_key(|explanation| {
            let refuted_ms = refuted_ms(explanation.id);
            (
                refuted_ms == 0,
                explanation.crashes,
                explanation.is_request,
                u64::MAX - refuted_ms,
                explanation.id,
            )
        })
    }

    fn parts(&self, refuted_ms: impl Fn(u64) -> u64) -> Vec<Explanation> {
        let crashes = self.crashes.iter().copied();
        let times = crash_times(crashes, |crash| &crash.parts).into_iter();
        let met = times.filter_map(|(id, times)| {
            let refuted_ms = refuted_ms(id);
            self.met(Threshold::PART, &times, refuted_ms)?;
            let times = attributable(&self.crashes, id, |crash| &crash.parts);
            let crashes = self.met(Threshold::PART, &times, refuted_ms)?;
            let is_general = self.other_causes(id, refuted_ms) >= MIN_OTHER_CAUSES;
            is_general.then_some(Explanation {
                id,
                is_request: false,
                crashes,
            })
        });
        met.collect()
    }

    /// requests that explain crashes which no known one explains; of those that were at the same
    /// crashes none, until a further crash shows which one it is
    fn repeated_requests(&self, refuted_ms: impl Fn(u64) -> u64) -> Vec<Explanation> {
        let crashes = self.crashes.iter().copied();
        let unexplained: Vec<&Crash> = crashes.filter(|crash| !self.is_explained(crash)).collect();
        let times = crash_times(unexplained.iter().copied(), |crash| &crash.requests);
        let is_distinct = |id: u64, refuted_ms: u64| {
            // a crash that is not settled may lack the evidence of some daemons
            let is_counted = |crash: &&&Crash| {
                let is_settled = crash.at_ms <= self.until_ms;
                is_settled && crash.at_ms > refuted_ms && crash.requests.contains(&id)
            };
            let mut with_id = unexplained.iter().filter(is_counted);
            let Some(first) = with_id.next() else {
                return false;
            };
            let mut others: Vec<u64> = first.requests.clone();
            others.retain(|other| *other != id);
            for crash in with_id {
                others.retain(|other| crash.requests.contains(other));
            }
            others.is_empty()
        };
        let met = times.into_iter().filter_map(|(id, times)| {
            let refuted_ms = refuted_ms(id);
            self.met(Threshold::REQUEST, &times, refuted_ms)?;
            let times = attributable(&unexplained, id, |crash| &crash.requests);
            let crashes = self.met(Threshold::REQUEST, &times, refuted_ms)?;
            is_distinct(id, refuted_ms).then_some(Explanation {
                id,
                is_request: true,
                crashes,
            })
        });
        met.collect()
    }

    /// number of crashes after a time, if those that are settled meet a threshold
    fn met(&self, threshold: Threshold, times: &[u64], refuted_ms: u64) -> Option<usize> {
        let refuted = times.partition_point(|at| *at <= refuted_ms);
        let times = &times[refuted..];
        let settled = times.partition_point(|at| *at <= self.until_ms);
        threshold.is_met(&times[..settled]).then_some(times.len())
    }

    /// smallest number of causes that the crashes with a part may have if the part is none: known requests,
    /// and the fewest others that were at all crashes without one; no more than [`MIN_OTHER_CAUSES`]
    /// others are counted
    fn other_causes(&self, part: u64, refuted_ms: u64) -> usize {
        let mut known: HashSet<u64> = HashSet::new();
        let mut unknown: Vec<&Crash> = Vec::new();
        let crashes = self.crashes.iter().copied();
        for crash in crashes.filter(|crash| crash.at_ms > refuted_ms && crash.parts.contains(&part))
        {
            match crash.requests.iter().find(|id| self.requests.contains(id)) {
                Some(id) => {
                    known.insert(*id);
                }
                None => unknown.push(crash),
            }
        }
        known.len() + fewest_requests(&unknown, MIN_OTHER_CAUSES)
    }

    fn is_explained(&self, crash: &Crash) -> bool {
        crash.requests.iter().any(|id| self.requests.contains(id))
    }
}

/// smallest number of requests of which each crash has one, at most `limit`; a crash without requests
/// counts as one
fn fewest_requests(crashes: &[&Crash], limit: usize) -> usize {
    let Some((first, others)) = crashes.split_first() else {
        return 0;
    };
    if limit == 0 {
        return 0;
    }
    let without = |id: u64| -> Vec<&Crash> {
        let others = others.iter().copied();
        others
            .filter(|crash| !crash.requests.contains(&id))
            .collect()
    };
    let rest = first
        .requests
        .iter()
        .map(|id| fewest_requests(&without(*id), limit - 1));
    let rest = rest
        .min()
        .unwrap_or_else(|| fewest_requests(others, limit - 1));
    1 + rest
}

/// ascending times of the crashes with a cause, but for those at whose times more VMs ended without it
/// than with it: these have another cause, such as the loss of their hosts
fn attributable<'a>(
    crashes: &[&'a Crash],
    id: u64,
    causes: impl Fn(&'a Crash) -> &'a [u64],
) -> Vec<u64> {
    let (with, without): (Vec<&Crash>, Vec<&Crash>) = crashes
        .iter()
        .partition(|crash| causes(crash).contains(&id));
    let near = |crashes: &[&Crash], at_ms: u64| {
        let is_near = |crash: &&&Crash| crash.at_ms.abs_diff(at_ms) < MIN_GAP_MS;
        crashes.iter().filter(is_near).count()
    };
    let times = with.iter().map(|crash| crash.at_ms);
    let mut times: Vec<u64> = times
        .filter(|at_ms| near(&without, *at_ms) <= near(&with, *at_ms))
        .collect();
    times.sort_unstable();
    times
}
