use std::time::Duration;

use peer::Node;
use route::origin::{Origin, stream_id};
use route::trust::Role;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use super::ASK_METHOD;
use super::restore::read_again;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// time limit of the question to other daemons, which the caller waits for: three times the round trip
/// between regions
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// what other daemons know of a stream
#[derive(Default)]
struct Answers {
    origin: Option<Origin>,
    /// whether a daemon answered that collects the records of this daemon's group
    is_group_asked: bool,
}

/// where the stream began that a caller's attempt brought the first event of; none if no daemon knows it
///
/// The daemons that collect the records of the group have at least what is in the object API. If none of
/// them answers, its records are read.
pub async fn find<D: Dialect>(shared: &Shared<D>, first_attempt: &str) -> Option<Origin> {
    let id = stream_id(first_attempt);
    if let Some(origin) = shared.known_origin(id) {
        return Some(origin);
    }
    let answers = match shared.owners.node() {
        Some(node) => ask(shared, &node, id).await,
        None => Answers::default(),
    };
    let mut origin = answers.origin;
    if origin.is_none() && !answers.is_group_asked {
        read_again(shared).await;
        origin = shared.known_origin(id);
    }
    if let Some(left_out) = shared.permit_log("origin_asked") {
        tracing::info!(
            event = "origin_asked",
            first_attempt,
            version = origin.as_ref().map(|origin| &origin.version),
            is_group_asked = answers.is_group_asked,
            records = shared.origins.table.borrow().len(),
            left_out,
        );
    }
    origin
}

/// asks the daemons that collect the records of their groups, until one of them knows the stream
async fn ask<D: Dialect>(shared: &Shared<D>, node: &Node, id: u64) -> Answers {
    let mut answers = Answers {
        origin: None,
        is_group_asked: shared.role.get() != Role::Follower,
    };
    let Some(topology) = shared.origins.topology.borrow().clone() else {
        return answers;
    };
    let members = node.members();
    let deadline = Instant::now() + ASK_TIMEOUT;
    let mut calls = JoinSet::new();
    for member in members.iter() {
        let is_of_group = topology.watchers().contains(&member.vm);
        if !is_of_group && !topology.remote_watchers().contains(&member.vm) {
            continue;
        }
        let (node, member) = (node.clone(), member.clone());
        calls.spawn(async move {
            let answer = node.call::<u64, Option<Origin>>(&member, ASK_METHOD, &id, ASK_TIMEOUT);
            match answer.await {
                Ok(origin) => (origin, is_of_group),
                Err(error) => {
                    tracing::debug!(event = "peer_not_asked", peer = member.vm, %error);
                    (None, false)
                }
            }
        });
    }
    while let Ok(Some(answer)) = timeout_at(deadline, calls.join_next()).await {
        match answer {
            Ok((origin, is_group_asked)) => {
                answers.is_group_asked |= is_group_asked;
                answers.origin = origin;
            }
            // the task panicked, which is a bug
            Err(error) => tracing::error!(event = "peer_call_failed", %error),
        }
        if answers.origin.is_some() {
            break;
        }
    }
    answers
}
