use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use peer::Node;
use route::notice::Reach;
use schema::member::{Member, State};
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// time for which a daemon that did not answer is not asked again
const SILENCE: Duration = Duration::from_secs(1);

/// who decides on a limit
#[derive(Debug, Clone, PartialEq)]
pub enum Owner {
    /// this daemon
    Local,
    /// another daemon
    Peer(Box<Member>),
    /// nobody that can be asked: each daemon spends its share
    Nobody,
}

/// the daemon that decides on each limit, and whether it answers
///
/// Every daemon derives the owners from the membership. Owners of different limits differ, so that
/// the work is spread over all daemons and the loss of one of them concerns few workspaces.
#[derive(Default)]
pub struct Owners {
    node: RefCell<Option<Node>>,
    /// whether limits have owners and this daemon knows all daemons
    is_enabled: Cell<bool>,
    /// part of a limit that its owner may grant; none before the members are known
    part: Cell<Option<f64>>,
    reach: Reach,
    /// instances of daemons that were asked before
    contacted: RefCell<HashSet<u64>>,
    /// daemons that are not asked before a time
    silent: RefCell<HashMap<String, Instant>>,
}

impl Owners {
    /// sets the membership of which the owners are chosen
    pub fn set_node(&self, node: Node) {
        *self.node.borrow_mut() = Some(node);
    }

    /// derives from the number of members and of registered daemons whether limits have owners, and
    /// which part of a limit an owner may grant
    ///
    /// There are none while daemons are missing just after the start. On the smaller side of a
    /// partition they grant the part of its daemons, since the other side grants the rest.
    pub fn set_daemons(&self, members: usize, registered: usize, now: Instant) {
        self.part.set(Some(self.reach.part(members, now)));
        self.is_enabled.set(members >= registered);
    }

    /// part of a limit that its owner may grant; all of it before the members are known
    pub fn part(&self) -> f64 {
        self.part.get().unwrap_or(1.0)
    }

    /// lets each daemon spend its share
    pub fn disable(&self) {
        self.is_enabled.set(false);
    }

    /// this daemon's node, once it has joined the others
    pub fn node(&self) -> Option<Node> {
        self.node.borrow().clone()
    }

    /// who decides on a workspace's limit: its owner, or the deputy while the owner is silent
    pub fn find(&self, workspace: &str, now: Instant) -> Owner {
        if !self.is_enabled.get() {
            return Owner::Nobody;
        }
        let Some(node) = self.node() else {
            return Owner::Nobody;
        };
        let members: Arc<[Member]> = node.members();
        for member in ranked(&members, workspace).into_iter().flatten() {
            if member.vm == node.me().vm {
                return Owner::Local;
            }
            let silent_until = self.silent.borrow().get(&member.vm).copied();
            if silent_until.is_none_or(|until| now >= until) {
                return Owner::Peer(Box::new(member.clone()));
            }
        }
        Owner::Nobody
    }

    /// whether this daemon owns a limit or is the deputy of its owner, who decides for those that the
    /// owner does not answer
    pub fn may_decide(&self, workspace: &str) -> bool {
        let Some(node) = self.node().filter(|_| self.is_enabled.get()) else {
            return false;
        };
        let members = node.members();
        let mut ranked = ranked(&members, workspace).into_iter().flatten();
        ranked.any(|member| member.vm == node.me().vm)
    }

    /// the daemon that decides on a limit if this one is lost
    pub fn deputy(&self, workspace: &str) -> Option<Member> {
        let node = self.node()?;
        let members = node.members();
        let others = ranked(&members, workspace).into_iter().flatten();
        let mut others = others.filter(|member| member.vm != node.me().vm);
        others.next().cloned()
    }

    /// records that a daemon is asked; returns whether it is for the first time
    pub fn record_contact(&self, member: &Member) -> bool {
        self.contacted.borrow_mut().insert(member.instance)
    }

    /// records that a daemon did not answer
    pub fn record_silence(&self, vm: &str, now: Instant) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, until| now < *until);
        silent.insert(vm.to_owned(), now + SILENCE);
    }
}

/// the member that decides on the limit of a workspace and its deputy, the same at all daemons
/// (rendezvous hashing)
pub fn ranked<'a>(members: &'a [Member], workspace: &str) -> [Option<&'a Member>; 2] {
    let seed = xxh3_64(workspace.as_bytes());
    let mut best: [Option<(u64, &Member)>; 2] = [None, None];
    for member in members.iter().filter(|member| member.state == State::Live) {
        let entry = Some((xxh3_64_with_seed(member.vm.as_bytes(), seed), member));
        let weight = |entry: &Option<(u64, &Member)>| entry.map(|(weight, _)| weight);
        if weight(&entry) > weight(&best[0]) {
            best = [entry, best[0]];
        } else if weight(&entry) > weight(&best[1]) {
            best[1] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, member)| member))
}
