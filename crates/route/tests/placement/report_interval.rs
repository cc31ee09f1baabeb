//! Load pattern: hundreds of daemons, each of which reports to a peer every few seconds only.

use std::collections::HashMap;
use std::time::Duration;

use route::placement::{Balancer, Distance, Load};
use tokio::time::Instant;

use super::{SERVICE, engine};

/// load of one VM that a peer reported some time ago, with reports at an interval
fn counted(interval: Duration, age: Duration) -> u32 {
    let mut balancer = Balancer::new();
    balancer.set_members(SERVICE, vec![engine("vm-1", Distance::Zone)]);
    balancer.set_report_interval(interval);
    let load = Load {
        running: 5,
        prefill_tokens: 0,
        held: 0,
    };
    let reported_at = Instant::now();
    let loads = HashMap::from([("vm-1".to_owned(), load)]);
    balancer.set_peer_loads("peer", loads, reported_at);
    balancer.total_load(SERVICE, reported_at + age).running
}

/// between two reports a peer's load counts, or its VMs would seem idle most of the time
#[test]
fn load_of_a_peer_counts_until_its_next_report() {
    for interval_ms in [500, 1200, 4100] {
        let interval = Duration::from_millis(interval_ms);
        assert_eq!(counted(interval, interval), 5, "{interval:?}");
    }
}

#[test]
fn load_of_a_peer_that_stopped_reporting_does_not_count() {
    for interval_ms in [500, 1200, 4100] {
        let interval = Duration::from_millis(interval_ms);
        let silence = Duration::from_millis(2500).max(interval * 2);
        assert_eq!(counted(interval, silence), 0, "{interval:?}");
    }
}
