use std::time::Duration;

use tokio::time::Instant;

use super::message::Stop;

/// time for which a stop is remembered after the last VM of its version has been listed: a restored
/// store may list some again
const RETENTION: Duration = Duration::from_secs(600);

/// time after the last VM was listed for which a stop is reported to the others
const REPORT_TIME: Duration = Duration::from_secs(10);

/// versions that get no requests
#[derive(Debug, Default)]
pub(super) struct Stops {
    known: Vec<(Stop, Instant)>,
}

impl Stops {
    /// adds a stop; true if it is new, or says for the first time that the version is bad
    pub fn add(&mut self, stop: Stop, now: Instant) -> bool {
        let is_same = |known: &Stop| known.id == stop.id && known.version == stop.version;
        let known = self.known.iter_mut().find(|(known, _)| is_same(known));
        let Some((known, _)) = known else {
            self.known.push((stop, now));
            return true;
        };
        let is_new = stop.is_bad && !known.is_bad;
        known.is_bad |= stop.is_bad;
        is_new
    }

    /// the stops of a service
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Stop> {
        let stops = self.known.iter().map(|(stop, _)| stop);
        stops.filter(move |stop| stop.service == service)
    }

    /// the stops to report
    pub fn in_force(&self, now: Instant) -> Vec<Stop> {
        let is_in_force = |at: &Instant| now < *at + REPORT_TIME;
        let stops = self.known.iter().filter(|(_, at)| is_in_force(at));
        stops.map(|(stop, _)| stop.clone()).collect()
    }

    /// records which versions have VMs, and forgets the stops of those that have had none for long
    pub fn refresh(&mut self, is_listed: impl Fn(&Stop) -> bool, now: Instant) {
        for (stop, at) in &mut self.known {
            if is_listed(stop) {
                *at = now;
            }
        }
        self.known.retain(|(_, at)| now < *at + RETENTION);
    }
}
