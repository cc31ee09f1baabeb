use std::collections::{HashMap, HashSet};
use std::time::Duration;

use peer::Node;
use route::origin::Batch;
use schema::member::Member;
use tokio::task::JoinSet;
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

/// calls of [`send_records`], and what their recipients have received
#[derive(Default)]
struct Calls {
    /// the recipient and the number of the first record that it has not received; none after a failure
    running: JoinSet<(u64, Option<u64>)>,
    /// recipients that have not answered yet
    awaited: HashSet<u64>,
    /// number of the first record that each process has not received
    next: HashMap<u64, u64>,
}

/// sends this daemon's records to the watcher and the standby of its group for as long as the process
/// runs
pub async fn send_records<D: Dialect>(shared: &Shared<D>, node: &Node) {
    let mut calls = Calls::default();
    loop {
        // on time-out, what failed is sent again
        let _ = timeout(RETRY_INTERVAL, shared.origins.added.notified()).await;
        sleep(BATCH_TIME).await;
        calls.collect();
        let members = recipients(shared, node);
        let is_recipient =
            |instance: &u64| members.iter().any(|member| member.instance == *instance);
        calls.next.retain(|instance, _| is_recipient(instance));
        let now_s = shared.wall_clock.now_ms() / 1000;
        for member in members {
            let from = calls.next.get(&member.instance).copied();
            let table = shared.origins.table.borrow();
            let (batch, end) = table.own_after(from.unwrap_or_default(), now_s);
            drop(table);
            calls.start(node, member, batch, end);
        }
    }
}

impl Calls {
    /// notes the calls that have ended
    fn collect(&mut self) {
        while let Some(ended) = self.running.try_join_next() {
            match ended {
                Ok((instance, end)) => {
                    self.awaited.remove(&instance);
                    if let Some(end) = end {
                        self.next.insert(instance, end);
                    }
                }
                // the task panicked, which is a bug
                Err(error) => tracing::error!(event = "peer_call_failed", %error),
            }
        }
    }

    /// sends records to a daemon, unless it has not answered the last call yet
    fn start(&mut self, node: &Node, member: Member, batch: Batch, end: u64) {
        if batch.is_empty() || !self.awaited.insert(member.instance) {
            return;
        }
        let node = node.clone();
        self.running.spawn(async move {
            let is_received = send(&node, &member, &batch).await;
            (member.instance, is_received.then_some(end))
        });
    }
}

fn recipients<D: Dialect>(shared: &Shared<D>, node: &Node) -> Vec<Member> {
    let topology = shared.origins.topology.borrow();
    let Some(topology) = topology.as_ref() else {
        return Vec::new();
    };
    let members = node.members();
    let is_recipient = |member: &&Member| topology.watchers().contains(&member.vm);
    members.iter().filter(is_recipient).cloned().collect()
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
