use std::collections::HashMap;
use std::time::Duration;

use peer::Node;
use route::origin::Batch;
use schema::member::Member;
use tokio::time::{sleep, timeout};

use crate::adapter::Dialect;
use crate::shared::Shared;

/// method by which a daemon sends its records
pub(crate) const RECORDS_METHOD: &str = "gateway_streams";

/// method by which a daemon asks where a stream began
pub(crate) const ASK_METHOD: &str = "gateway_origin";

/// time for which records are batched
const BATCH_TIME: Duration = Duration::from_millis(50);

/// interval at which records are sent again that a daemon did not receive, or that has just become
/// the watcher or the standby
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// time limit of a call
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// sends this daemon's records to the watcher and the standby of its group for as long as the process
/// runs
pub async fn send_records<D: Dialect>(shared: &Shared<D>, node: &Node) {
    // number of the first record that each process has not received
    let mut next: HashMap<u64, u64> = HashMap::new();
    loop {
        // on time-out, what failed is sent again
        let _ = timeout(RETRY_INTERVAL, shared.origins.added.notified()).await;
        sleep(BATCH_TIME).await;
        let members = recipients(shared, node);
        next.retain(|instance, _| members.iter().any(|member| member.instance == *instance));
        let calls = members.into_iter().map(|member| {
            let from = next.get(&member.instance).copied().unwrap_or_default();
            let now_s = shared.wall_clock.now_ms() / 1000;
            let (batch, end) = shared.origins.table.borrow().own_after(from, now_s);
            let node = node.clone();
            tokio::spawn(async move {
                let is_received = batch.is_empty() || send(&node, &member, &batch).await;
                is_received.then_some((member.instance, end))
            })
        });
        for call in calls.collect::<Vec<_>>() {
            match call.await {
                Ok(Some((instance, end))) => {
                    next.insert(instance, end);
                }
                Ok(None) => {}
                // the task panicked, which is a bug
                Err(error) => tracing::error!(event = "peer_call_failed", %error),
            }
        }
    }
}

fn recipients<D: Dialect>(shared: &Shared<D>, node: &Node) -> Vec<Member> {
    let topology = shared.origins.topology.borrow();
    let names = topology
        .as_ref()
        .map_or(&[][..], |topology| topology.watchers());
    let members = node.members().iter().cloned().collect::<Vec<Member>>();
    members
        .into_iter()
        .filter(|member| names.contains(&member.vm))
        .collect()
}

async fn send(node: &Node, member: &Member, batch: &Batch) -> bool {
    let call = node.call::<Batch, ()>(member, RECORDS_METHOD, batch, CALL_TIMEOUT);
    match call.await {
        Ok(()) => true,
        Err(error) => {
            tracing::debug!(event = "peer_not_told", peer = member.vm, %error);
            false
        }
    }
}
