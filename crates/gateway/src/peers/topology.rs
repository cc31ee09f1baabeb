use macro_rules_attribute::apply;
use route::trust::Role;
use schema::data;
use xxhash_rust::xxh3::xxh3_64;

use super::report::{Report, Scope};

/// number of daemons up to which all report to each other directly
const MAX_DIRECT: usize = 12;

/// daemons of a zone that collect its reports and the sums of the remote zones: the second one can
/// take over without a gap
const DELEGATES: usize = 2;

/// daemons of a zone, or of a small deployment, that the others follow: the first one polls the
/// object API, the second one continues if the first is lost
const FOLLOWED: usize = 2;

/// name of the group of a small deployment; a zone's group has the zone's name
pub const SINGLE_GROUP: &str = "all";

/// a daemon
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// its name
    pub name: String,
    /// its zone
    pub zone: String,
}

/// which daemon reports to which, derived from the membership
#[apply(data!)]
pub struct Topology {
    me: Peer,
    is_single_group: bool,
    rank: usize,
    zone_rank: usize,
    daemons: usize,
    /// in the order of [`order`], so that the watcher and the standby come first
    group_peers: Vec<String>,
    remote_delegates: Vec<String>,
    /// first daemon of each remote zone
    remote_watchers: Vec<String>,
}

impl Topology {
    /// derives the topology of a daemon from all members, which may include itself
    pub fn new(me: Peer, all: &[Peer]) -> Topology {
        let peers: Vec<&Peer> = all.iter().filter(|peer| peer.name != me.name).collect();
        let daemons = peers.len() + 1;
        let is_single_group = daemons <= MAX_DIRECT;
        let is_in_group = |peer: &&&Peer| is_single_group || peer.zone == me.zone;
        let is_before = |peer: &&&Peer| order(&peer.name) < order(&me.name);
        let zone = peers.iter().filter(|peer| peer.zone == me.zone);
        let zone_rank = zone.filter(is_before).count();
        let mut group: Vec<&&Peer> = peers.iter().filter(is_in_group).collect();
        group.sort_by_key(|peer| order(&peer.name));
        let group_peers = group.iter().map(|peer| peer.name.clone()).collect();
        let mut remote_watchers = Vec::new();
        if !is_single_group {
            remote_watchers = first_of_zones(&me, &peers, 1);
        }
        let mut remote_delegates = Vec::new();
        if !is_single_group && zone_rank == 0 {
            remote_delegates = first_of_zones(&me, &peers, DELEGATES);
        }
        Topology {
            is_single_group,
            rank: peers.iter().filter(is_before).count(),
            zone_rank,
            daemons,
            group_peers,
            remote_delegates,
            remote_watchers,
            me,
        }
    }

    /// number of daemons
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// position of this daemon in an order that is the same at all daemons
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// whether this daemon polls the object API on behalf of its peers
    pub fn role(&self) -> Role {
        match self.group_rank() {
            0 => Role::Watcher,
            rank if rank < FOLLOWED => Role::Standby,
            _ => Role::Follower,
        }
    }

    /// number of the first [`Topology::group_peers`] that this daemon follows
    pub fn followed_peers(&self) -> usize {
        match self.role() {
            Role::Watcher | Role::Standby => 1,
            Role::Follower => FOLLOWED,
        }
    }

    /// the watcher and the standby of this daemon's group, without itself
    pub fn watchers(&self) -> &[String] {
        let count = self.followed_peers().min(self.group_peers.len());
        &self.group_peers[..count]
    }

    /// the watchers of the other groups
    pub fn remote_watchers(&self) -> &[String] {
        &self.remote_watchers
    }

    /// name of this daemon's group
    pub fn group(&self) -> &str {
        if self.is_single_group {
            SINGLE_GROUP
        } else {
            &self.me.zone
        }
    }

    /// number that spreads the followers of a group over its watchers
    pub fn draw(&self) -> u64 {
        order(&self.me.name)
    }

    /// the other daemons of the zone, or of a small deployment
    pub fn group_peers(&self) -> &[String] {
        &self.group_peers
    }

    /// whether this daemon collects the reports of its zone and answers them with those of all
    /// other daemons
    pub fn is_delegate(&self) -> bool {
        !self.is_single_group && self.zone_rank < DELEGATES
    }

    /// peers that receive this daemon's own report
    pub fn reported_peers(&self) -> &[String] {
        let count = match (self.is_single_group, self.is_delegate()) {
            (true, _) => self.group_peers.len(),
            (false, true) => DELEGATES - 1,
            (false, false) => DELEGATES,
        };
        &self.group_peers[..count.min(self.group_peers.len())]
    }

    /// peers that receive what this daemon learns of VMs; delegates pass on to theirs what is new to
    /// them
    pub fn update_peers(&self) -> Vec<String> {
        if self.is_single_group || self.is_delegate() {
            return [&self.group_peers[..], &self.remote_delegates].concat();
        }
        self.reported_peers().to_vec()
    }

    /// daemons of remote zones that receive the sum of this daemon's zone
    pub fn remote_delegates(&self) -> &[String] {
        &self.remote_delegates
    }

    /// whether reports of some daemons arrive as sums of their zones, seconds late
    pub fn has_remote_zones(&self) -> bool {
        !self.is_single_group
    }

    /// whether this daemon sends the sum of its zone to the remote zones
    pub fn forwards_sums(&self) -> bool {
        !self.is_single_group && self.zone_rank == 0
    }

    /// whether a report counts, given that each daemon has to be counted exactly once
    pub fn accepts(&self, report: &Report) -> bool {
        self.accepts_from(report.scope, &report.zone)
    }

    /// whether a report with a scope from a zone counts
    pub(crate) fn accepts_from(&self, scope: Scope, zone: &str) -> bool {
        if self.is_single_group {
            return scope == Scope::Daemon;
        }
        match scope {
            Scope::Daemon => self.is_delegate() && zone == self.me.zone,
            Scope::Zone => self.is_delegate() && zone != self.me.zone,
            Scope::Others => !self.is_delegate(),
        }
    }
}

impl Topology {
    /// position of this daemon among those that report to each other directly
    fn group_rank(&self) -> usize {
        if self.is_single_group {
            self.rank
        } else {
            self.zone_rank
        }
    }
}

/// the first daemons of each remote zone
fn first_of_zones(me: &Peer, peers: &[&Peer], count: usize) -> Vec<String> {
    let mut remote: Vec<&&Peer> = peers.iter().filter(|peer| peer.zone != me.zone).collect();
    remote.sort_by_key(|peer| (peer.zone.clone(), order(&peer.name)));
    let mut names = Vec::new();
    let mut position = 0;
    for (index, peer) in remote.iter().enumerate() {
        let is_same_zone = index > 0 && remote[index - 1].zone == peer.zone;
        position = if is_same_zone { position + 1 } else { 0 };
        if position < count {
            names.push(peer.name.clone());
        }
    }
    names
}

/// sort key of a daemon, the same at all daemons
fn order(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
