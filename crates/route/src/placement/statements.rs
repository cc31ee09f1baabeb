//! What VMs state about themselves, as far as it bears on the choice.

use tokio::time::Instant;

use super::balancer::Balancer;
use crate::notice::Throttle;

impl Balancer {
    /// excludes a VM that wants no requests from this daemon until a time; an earlier end of a
    /// later statement does not shorten it
    pub fn close_until(&mut self, service: &str, id: &str, until: Instant) {
        if let Some(entry) = self.entry(service, id) {
            entry.closed_until = entry.closed_until.max(Some(until));
        }
    }

    /// whether a VM wants no requests from this daemon at the moment
    pub fn is_closed(&self, service: &str, id: &str, now: Instant) -> bool {
        let entry = self
            .services
            .get(service)
            .and_then(|state| state.entries.get(id));
        entry.is_some_and(|entry| entry.closed_until.is_some_and(|until| now < until))
    }

    /// avoids a VM that wants no requests from another daemon until a time
    pub fn avoid_until(&mut self, service: &str, id: &str, until: Instant) {
        if let Some(entry) = self.entry(service, id) {
            entry.avoided_until = entry.avoided_until.max(Some(until));
        }
    }

    /// limits this daemon's requests to each VM, by its id and the start of its process, to a number
    /// per second; none without a limit
    pub fn set_limits(&mut self, limit: impl Fn(&str, u64) -> Option<f64>, now: Instant) {
        let services = self.services.values_mut();
        for (id, entry) in services.flat_map(|state| &mut state.entries) {
            let Some(per_second) = limit(id, entry.member.started_at_ms) else {
                entry.throttle = None;
                continue;
            };
            match &mut entry.throttle {
                Some(throttle) => throttle.set(per_second, now),
                None => entry.throttle = Some(Throttle::new(per_second, now)),
            }
        }
    }
}
