//! Requests and parts of prompts that end upstream VMs: what this daemon observes, and its exchange
//! with others.
//!
//! The decisions are those of [`route::quarantine`]; the parts of a prompt are the hashes of its
//! blocks ([`route::prefix`]). A VM has ended if a response breaks that it had just begun, or not begun,
//! and its port then refuses connections. What is new is sent to a few random members, each of
//! which does the same with what is new to it. Quarantined parts are sent to a random member now and
//! then, so that daemons that have started or were cut off learn them.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jsonrpsee::RpcModule;
use peer::{Member, Node, State as Liveness};
use rand::seq::IteratorRandom;
use route::quarantine::{BEGIN_TIME, Crash, Evidence, Mark, Quarantine};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::Xxh3;

use crate::context::Context;
use crate::fault::Fault;
use crate::handover::{Slot, ready};
use crate::journal::Origin;
use crate::lock;

/// method that passes evidence on
const EVIDENCE: &str = "quarantine_evidence";

/// time-out of such a call
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// interval at which crashes are evaluated and evidence is sent
const INTERVAL: Duration = Duration::from_millis(100);

/// intervals after which the quarantined parts are sent to a random member
const REPEAT_INTERVALS: u32 = 10;

/// members that get new evidence from one daemon: of several hundred all but a few get it in five
/// rounds
const FAN_OUT: usize = 4;

/// time limit of the connection that shows whether a VM has ended
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// what identifies a request, and may end a VM
#[derive(Debug, Clone, Copy)]
pub(crate) struct Causes<'a> {
    /// blocks of the prompt; none for a request without a prompt
    pub blocks: &'a [u64],
    /// hash of path, caller and body, the same when the request is sent again
    pub fingerprint: u64,
}

/// crashes and quarantined parts and requests at this daemon
#[derive(Debug, Default)]
pub struct State {
    parts: Mutex<Quarantine>,
    /// evidence to send
    evidence: Mutex<Evidence>,
}

impl State {
    /// why a request is refused, if it is
    pub(crate) fn refusal(&self, causes: &Causes<'_>) -> Option<Fault> {
        let refused_for = lock(&self.parts).refused_for(causes.iter(), now_ms())?;
        let message = "The request, or a part of its prompt, ended several upstream VMs.";
        Some(Fault::not_run(503, "quarantined", message).with_retry_after(refused_for))
    }

    /// records that a response was begun and did not break
    pub(crate) fn record_success(&self, causes: &Causes<'_>, first_token: Instant) {
        let began_ms = now_ms().saturating_sub(millis(first_token.elapsed()));
        let evidence = lock(&self.parts).record_success(causes.iter(), began_ms);
        self.publish(evidence);
    }

    /// records that a response broke, if its VM has ended; `first_token` is the time of its first token
    pub(crate) fn record_broken(
        &self,
        causes: &Causes<'_>,
        vm: &str,
        address: &str,
        first_token: Option<Instant>,
    ) {
        let is_past_begin = first_token.is_some_and(|at| at.elapsed() > BEGIN_TIME);
        let at_ms = now_ms();
        if is_past_begin || !is_refused(address) {
            return;
        }
        let fingerprint = format!("{:x}", causes.fingerprint);
        tracing::info!(
            event = "vm_crashed",
            vm,
            blocks = causes.blocks.len(),
            fingerprint
        );
        let crash = Crash {
            vm: vm.to_owned(),
            started_at_ms: 0,
            at_ms,
            parts: causes.blocks.to_vec(),
            requests: vec![causes.fingerprint],
        };
        let evidence = lock(&self.parts).record_crash(crash, now_ms());
        self.publish(evidence);
    }

    /// the parts and requests that are or were quarantined
    pub fn marks(&self) -> Vec<Mark> {
        lock(&self.parts).marks()
    }

    /// applies marks that were kept over a restart
    pub fn restore(&self, marks: &[Mark]) {
        let evidence = Evidence {
            marks: marks.to_vec(),
            ..Evidence::default()
        };
        // the other daemons read the same marks, but do not know of later successes here
        let (_, refutations) = lock(&self.parts).merge(&evidence, now_ms());
        self.publish(refutations);
    }

    /// applies the evidence of another daemon
    fn apply(&self, evidence: &Evidence) {
        let (news, reply) = lock(&self.parts).merge(evidence, now_ms());
        self.publish(news);
        self.publish(reply);
    }

    fn evaluate(&self) {
        let evidence = lock(&self.parts).evaluate(now_ms());
        self.publish(evidence);
    }

    /// queues evidence for the other daemons and logs what has changed
    fn publish(&self, evidence: Evidence) {
        for change in lock(&self.parts).take_changes() {
            tracing::warn!(
                event = change.event(),
                id = format!("{:x}", change.id),
                crashes = change.crashes,
            );
        }
        lock(&self.evidence).add(evidence);
    }

    /// evidence to send next, and whether it is new
    fn take_evidence(&self, is_repeat: bool) -> (Evidence, bool) {
        let evidence = std::mem::take(&mut *lock(&self.evidence));
        if !evidence.is_empty() || !is_repeat {
            return (evidence, true);
        }
        let marks = lock(&self.parts).marks();
        let repeated = Evidence {
            marks,
            ..Evidence::default()
        };
        (repeated, false)
    }
}

impl<'a> Causes<'a> {
    /// the causes of a request of a workspace
    pub fn new(workspace: &str, path: &[&str], body: &[u8], blocks: &'a [u64]) -> Causes<'a> {
        let mut hash = Xxh3::new();
        let path = path.iter().map(|field| field.as_bytes());
        for field in [workspace.as_bytes(), body].into_iter().chain(path) {
            // with their lengths, so that no two requests have the same bytes
            hash.update(&field.len().to_le_bytes());
            hash.update(field);
        }
        Causes {
            blocks,
            fingerprint: hash.digest(),
        }
    }

    /// the causes of a completion
    pub fn of(origin: &Origin, blocks: &'a [u64]) -> Causes<'a> {
        let tokens = origin.max_tokens.to_string();
        let path = [origin.service.as_str(), &tokens];
        Causes::new(&origin.workspace, &path, origin.prompt.as_bytes(), blocks)
    }

    fn iter(&self) -> impl Iterator<Item = u64> {
        let blocks = self.blocks.iter().copied();
        blocks.chain(std::iter::once(self.fingerprint))
    }
}

/// RPC methods that other daemons call to pass evidence on
///
/// # Panics
/// Never: there is only one method.
pub fn methods(slot: &Slot) -> RpcModule<Slot> {
    let mut module = RpcModule::new(Arc::clone(slot));
    let evidence = module.register_method(EVIDENCE, |params, slot, _| {
        let evidence: Evidence = params.one()?;
        ready(slot).map(|context| context.quarantine.apply(&evidence))
    });
    evidence.expect("method names are distinct");
    module
}

/// evaluates crashes and sends evidence, for as long as the daemon runs
pub fn start(context: &Arc<Context>) {
    let context = Arc::clone(context);
    let runtime = context.runtime.clone();
    runtime.spawn(async move {
        for number in 1u32.. {
            sleep(INTERVAL).await;
            context.quarantine.evaluate();
            let is_repeat = number.is_multiple_of(REPEAT_INTERVALS);
            let (evidence, is_new) = context.quarantine.take_evidence(is_repeat);
            if !evidence.is_empty() {
                let fan_out = if is_new { FAN_OUT } else { 1 };
                send(&context.node, &evidence, fan_out);
            }
        }
    });
}

/// sends evidence to random members without waiting for them
fn send(node: &Node, evidence: &Evidence, fan_out: usize) {
    let me = node.me().instance;
    let members = node.members();
    let is_other = |member: &&Member| member.instance != me && member.state != Liveness::Gone;
    let others = members.iter().filter(is_other);
    for member in others.choose_multiple(&mut rand::rng(), fan_out) {
        let (node, member, evidence) = (node.clone(), member.clone(), evidence.clone());
        tokio::spawn(async move {
            let sent = node.call::<Evidence, ()>(&member, EVIDENCE, &evidence, EVIDENCE_TIMEOUT);
            if let Err(error) = sent.await {
                tracing::debug!(event = "evidence_not_sent", peer = member.vm, %error);
            }
        });
    }
}

/// whether the process at an address has ended, so that its port refuses connections
fn is_refused(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    let connecting = TcpStream::connect_timeout(&address, CHECK_TIMEOUT);
    connecting.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn now_ms() -> u64 {
    // a clock before the epoch is a fault of the VM, and no crash counts there
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(now.unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
