//! Records of preemption notices.

use std::time::Duration;

use entry::migration::State;
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn the_earliest_of_several_notices_counts() {
    let state = State::default();
    let now = Instant::now();
    state.record_notice("vm", now + 30 * SECOND, now);
    state.record_notice("vm", now + 10 * SECOND, now);
    state.record_notice("vm", now + 60 * SECOND, now);
    assert_eq!(state.time_left("vm", now), 10 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_notice_of_a_new_vm_replaces_that_of_an_earlier_vm_of_the_same_name() {
    let state = State::default();
    let now = Instant::now();
    state.record_notice("vm", now + 10 * SECOND, now);
    advance(60 * SECOND).await;
    let now = Instant::now();
    state.record_notice("vm", now + 30 * SECOND, now);
    assert_eq!(state.time_left("vm", now), 30 * SECOND);
}
