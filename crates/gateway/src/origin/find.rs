use std::time::Duration;

use peer::Node;
use route::origin::{Origin, stream_id};
use schema::member::Member;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use super::ASK_METHOD;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// time limit of the question to other daemons, which the caller waits for: three times the round trip
/// between regions
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// where the stream began that a caller's attempt brought the first event of; none if no daemon knows it
pub async fn find<D: Dialect>(shared: &Shared<D>, first_attempt: &str) -> Option<Origin> {
    let id = stream_id(first_attempt);
    if let Some(origin) = shared.known_origin(id) {
        return Some(origin);
    }
    let node = shared.owners.node()?;
    let names = collectors(shared);
    let members = node.members();
    let asked = members.iter().filter(|member| names.contains(&member.vm));
    let origin = ask(&node, asked, id).await;
    if let Some(left_out) = shared.permit_log("origin_asked") {
        tracing::info!(
            event = "origin_asked",
            first_attempt,
            version = origin.as_ref().map(|origin| &origin.version),
            daemons = names.len(),
            records = shared.origins.table.borrow().len(),
            left_out,
        );
    }
    origin
}

/// the daemons that collect the records of their groups
fn collectors<D: Dialect>(shared: &Shared<D>) -> Vec<String> {
    let topology = shared.origins.topology.borrow();
    let Some(topology) = topology.as_ref() else {
        return Vec::new();
    };
    [topology.watchers(), topology.remote_watchers()].concat()
}

/// the first answer of a daemon that knows the stream
async fn ask<'a>(
    node: &Node,
    members: impl Iterator<Item = &'a Member>,
    id: u64,
) -> Option<Origin> {
    let deadline = Instant::now() + ASK_TIMEOUT;
    let mut calls = JoinSet::new();
    for member in members {
        let (node, member) = (node.clone(), member.clone());
        calls.spawn(async move {
            let answer = node.call::<u64, Option<Origin>>(&member, ASK_METHOD, &id, ASK_TIMEOUT);
            answer.await.unwrap_or_else(|error| {
                tracing::debug!(event = "peer_not_asked", peer = member.vm, %error);
                None
            })
        });
    }
    while let Ok(Some(answer)) = timeout_at(deadline, calls.join_next()).await {
        match answer {
            Ok(Some(origin)) => return Some(origin),
            Ok(None) => {}
            // the task panicked, which is a bug
            Err(error) => tracing::error!(event = "peer_call_failed", %error),
        }
    }
    None
}
