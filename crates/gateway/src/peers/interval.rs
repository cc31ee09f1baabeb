use std::time::Duration;

use super::topology::Topology;

/// interval between two reports to the same peer in small deployments
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// reports per second that a delegate answers, each with the loads of all VMs: a zone of 49 has one
/// round a second
const MAX_ANSWERS_PER_SECOND: f64 = 50.0;

/// reports per second of a daemon in a small deployment, which has no delegates
const MAX_REPORTS_PER_SECOND: f64 = 12.0;

/// interval between two exchanges of sums between zones
pub(super) const ZONE_SUM_INTERVAL: Duration = Duration::from_millis(800);

/// time limit of a call to a peer
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// longest time until the counts of all daemons have arrived at any one
pub fn counts_age(topology: &Topology) -> Duration {
    let to_delegates = report_interval(topology) + CALL_TIMEOUT;
    if !topology.has_remote_zones() {
        return to_delegates;
    }
    // the holder of the lease may be no delegate, and then waits for its next answer
    2 * to_delegates + ZONE_SUM_INTERVAL
}

/// interval between two reports of a daemon to the same peer
pub fn report_interval(topology: &Topology) -> Duration {
    let per_second = if topology.has_remote_zones() {
        MAX_ANSWERS_PER_SECOND
    } else {
        MAX_REPORTS_PER_SECOND
    };
    let seconds = topology.group_peers().len() as f64 / per_second;
    REPORT_INTERVAL.max(Duration::from_secs_f64(seconds))
}
