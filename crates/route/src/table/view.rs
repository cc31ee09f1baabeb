//! Which VMs there are.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use schema::config::Declaration;
use tokio::time::Instant;

use super::node::Node;
use super::stats::Stats;
use super::{Place, Tier, Vm};

/// time for which a notice outweighs the VM's own word that it stays
const LEAVING_KEEP: Duration = Duration::from_secs(120);

/// lists in a row without a leaving VM after which its name is free again
const LISTS_GONE: u32 = 100;

/// the VMs of one service
#[derive(Debug, Default)]
pub(super) struct Group {
    /// by distance, nearest first
    tiers: [Vec<Arc<Node>>; 3],
}

/// a VM known to be leaving
#[derive(Debug)]
struct Mark {
    address: Option<String>,
    until: Instant,
    lists_gone: u32,
}

/// all services, VMs, and the VMs known to be leaving
#[derive(Debug, Default)]
pub(super) struct View {
    services: HashMap<String, Arc<Stats>>,
    groups: HashMap<String, Group>,
    nodes: HashMap<String, Arc<Node>>,
    marks: HashMap<String, Mark>,
}

impl Group {
    /// returns the VMs at a distance
    pub fn tier(&self, tier: Tier) -> &[Arc<Node>] {
        &self.tiers[tier as usize]
    }

    /// returns all VMs, nearest first
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.tiers.iter().flatten()
    }
}

impl View {
    /// takes in the declared services
    pub fn configure(&mut self, declaration: &Declaration) {
        let declared: HashSet<&str> = declaration
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        self.services
            .retain(|name, _| declared.contains(name.as_str()));
        for name in declared {
            let name = name.to_owned();
            self.services
                .entry(name)
                .or_insert_with(|| Arc::new(Stats::new()));
        }
        for node in self.nodes.values_mut() {
            if let Some(stats) = self.services.get(&node.vm.service) {
                let renewed = node.renewed(node.vm.clone(), node.tier, Arc::clone(stats));
                *node = Arc::new(renewed);
            }
        }
        self.regroup();
    }

    /// replaces the VMs
    pub fn list(&mut self, vms: &[Vm], place: &Place) {
        let mut nodes = HashMap::new();
        for vm in vms {
            let node = self.node(vm, place);
            self.mark_node(&node);
            node.live().belief.bound(vms.len());
            nodes.insert(vm.name.clone(), Arc::new(node));
        }
        self.nodes = nodes;
        self.forget_marks();
        self.regroup();
    }

    /// records that a VM is leaving, by notice until a time
    pub fn leave(&mut self, name: &str, until: Instant) {
        let node = self.nodes.get(name);
        let address = node.map(|node| node.vm.address.clone());
        if let Some(node) = node {
            node.set_leaving(true);
        }
        let mark = self.marks.entry(name.to_owned()).or_insert(Mark {
            address: None,
            until,
            lists_gone: 0,
        });
        mark.address = address.or_else(|| mark.address.take());
        mark.until = mark.until.max(until);
    }

    /// records the VM's own word that it stays, unless its notice is recent
    pub fn stay(&mut self, name: &str, now: Instant) {
        let Some(mark) = self.marks.get(name) else {
            return;
        };
        if now < mark.until + LEAVING_KEEP {
            return;
        }
        self.marks.remove(name);
        if let Some(node) = self.nodes.get(name) {
            node.set_leaving(false);
        }
    }

    /// tells whether a VM is known to be leaving
    pub fn is_leaving(&self, name: &str) -> bool {
        self.marks.contains_key(name)
    }

    /// returns a service's statistics, if it is declared
    pub fn stats(&self, service: &str) -> Option<&Arc<Stats>> {
        self.services.get(service)
    }

    /// returns a service's VMs
    pub fn group(&self, service: &str) -> Option<&Group> {
        self.groups.get(service)
    }

    /// returns a VM
    pub fn find(&self, name: &str) -> Option<&Arc<Node>> {
        self.nodes.get(name)
    }

    /// returns all VMs
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes.values()
    }

    /// builds a listed VM, with its state if it is the same machine as before
    fn node(&self, vm: &Vm, place: &Place) -> Node {
        let tier = place.tier(vm);
        let stats = match self.services.get(&vm.service) {
            Some(stats) => Arc::clone(stats),
            None => Arc::new(Stats::new()),
        };
        match self.nodes.get(&vm.name) {
            Some(known) if known.vm.address == vm.address => known.renewed(vm.clone(), tier, stats),
            _ => Node::new(vm.clone(), tier, stats),
        }
    }

    /// a name at a new address is a new machine; else what leaves stays leaving
    fn mark_node(&mut self, node: &Node) {
        let Some(mark) = self.marks.get_mut(&node.vm.name) else {
            return;
        };
        match &mark.address {
            Some(address) if *address != node.vm.address => {
                self.marks.remove(&node.vm.name);
            }
            _ => {
                mark.address = Some(node.vm.address.clone());
                node.set_leaving(true);
            }
        }
    }

    /// frees the names of leaving VMs that are long gone
    fn forget_marks(&mut self) {
        for (name, mark) in &mut self.marks {
            let listed = self.nodes.contains_key(name);
            mark.lists_gone = if listed { 0 } else { mark.lists_gone + 1 };
        }
        self.marks.retain(|_, mark| mark.lists_gone < LISTS_GONE);
    }

    fn regroup(&mut self) {
        let mut groups: HashMap<String, Group> = HashMap::new();
        for node in self.nodes.values() {
            if !self.services.contains_key(&node.vm.service) {
                continue;
            }
            let group = groups.entry(node.vm.service.clone()).or_default();
            group.tiers[node.tier as usize].push(Arc::clone(node));
        }
        for group in groups.values_mut() {
            for tier in &mut group.tiers {
                tier.sort_by(|one, other| one.vm.name.cmp(&other.vm.name));
            }
        }
        self.groups = groups;
    }
}
