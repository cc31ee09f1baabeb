use std::rc::Rc;
use std::time::Duration;

use peer::Node;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::Instant;

use super::following::follow_watchers;
use super::join::{FOLLOW_METHOD, Message, join};
use super::reporter::Reporter;
use super::state::Peers;
use crate::adapter::{Dialect, Objects};
use crate::limits::{refund_peer, restore_ledger, rule_for_peer};
use crate::notices;
use crate::origin;
use crate::quarantine::{apply_evidence, evaluate_crashes};
use crate::relay::{Known, Reply};
use crate::rollout::apply_stops;
use crate::shared::Shared;

/// capacity of the queue of received messages
const QUEUE_CAPACITY: usize = 256;

/// joins the other daemons and exchanges reports for as long as the process runs
pub async fn exchange_reports<D: Dialect, S: Objects>(
    shared: Rc<Shared<D>>,
    store: Rc<S>,
    peers: Rc<Peers>,
) {
    let (sender, queue) = channel(QUEUE_CAPACITY);
    let (node, registered, entries) = join(&shared, &*store, sender).await;
    peers
        .reports
        .borrow_mut()
        .set_registered(registered, Instant::now());
    shared.set_registered(registered);
    *peers.node.borrow_mut() = Some(node.clone());
    shared.owners.set_node(node.clone());
    let reporter = Reporter::new(&shared, &peers, node.clone(), registered);
    let receiving = receive(&shared, &peers, queue);
    let call = async |name: &str, known: &Known, timeout: Duration| {
        follow(&node, name, known, timeout).await
    };
    let following = follow_watchers(&shared, &*store, || peers.topology(), call);
    let rewriting = entries.rewrite_after_restores(&shared, &*store);
    tokio::join!(
        receiving,
        reporter.run(),
        reporter.run_updates(),
        evaluate_crashes(Rc::clone(&shared)),
        following,
        origin::send_records(&shared, &node),
        origin::write_records(&shared, &*store),
        rewriting
    );
}

/// asks a daemon for its view of the store; none if it is no member or does not answer
async fn follow(node: &Node, name: &str, known: &Known, timeout: Duration) -> Option<Reply> {
    let members = node.members();
    let member = members.iter().find(|member| member.vm == name)?;
    let reply = node
        .call::<Known, Reply>(member, FOLLOW_METHOD, known, timeout)
        .await;
    match reply {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::debug!(event = "peer_not_followed", peer = name, %error);
            None
        }
    }
}

/// applies messages from the peers
async fn receive<D: Dialect>(shared: &Shared<D>, peers: &Peers, mut queue: Receiver<Message>) {
    while let Some(message) = queue.recv().await {
        match message {
            Message::Report(report, reply) => {
                let others = peers.others(shared, &report);
                peers.receive(shared, *report);
                if reply.send(others).is_err() {
                    tracing::debug!(event = "report_given_up");
                }
            }
            Message::Update(update) => {
                let is_forwarded = peers.topology().is_delegate();
                notices::apply(shared, &update.notices, is_forwarded);
                apply_evidence(shared, &update.evidence, is_forwarded);
                apply_stops(shared, &update.stops, is_forwarded);
            }
            Message::Refund(charge) => refund_peer(shared, &charge),
            Message::Records(batch) => shared.merge_origins(&batch),
            Message::Origin(id, reply) => {
                if reply.send(shared.known_origin(id)).is_err() {
                    tracing::debug!(event = "question_given_up");
                }
            }
            Message::Ledger(copy) => restore_ledger(shared, &copy),
            Message::Charge(charge, reply) => {
                if reply.send(rule_for_peer(shared, &charge)).is_err() {
                    tracing::debug!(event = "charge_given_up", workspace = charge.workspace);
                }
            }
        }
    }
}
