//! The services, their VMs, and the draining VMs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use schema::config::Declaration;
use tokio::time::Instant;

use super::endpoint::Endpoint;
use super::stats::Stats;
use super::{Location, Tier, Vm};

/// time after the end of a drain notice during which load reports cannot end the drain
const DRAIN_HOLD: Duration = Duration::from_secs(120);

/// consecutive VM lists without a draining VM after which its drain is dropped
const MAX_ABSENT_LISTS: u32 = 100;

/// the VMs of one service
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// indexed by [`Tier`], nearest first
    tiers: [Vec<Arc<Endpoint>>; 3],
}

/// a draining VM
#[derive(Debug)]
struct Drain {
    address: Option<String>,
    until: Instant,
    absent_lists: u32,
}

/// all services, VMs, and draining VMs
#[derive(Debug, Default)]
pub(super) struct View {
    services: HashMap<String, Arc<Stats>>,
    pools: HashMap<String, Pool>,
    endpoints: HashMap<String, Arc<Endpoint>>,
    drains: HashMap<String, Drain>,
}

impl Pool {
    /// VMs at a distance
    pub fn tier(&self, tier: Tier) -> &[Arc<Endpoint>] {
        &self.tiers[tier as usize]
    }

    /// all VMs, nearest first
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.tiers.iter().flatten()
    }
}

impl View {
    /// sets the services to those of a declaration
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
        for endpoint in self.endpoints.values_mut() {
            if let Some(stats) = self.services.get(&endpoint.vm.service) {
                let updated =
                    endpoint.updated(endpoint.vm.clone(), endpoint.tier, Arc::clone(stats));
                *endpoint = Arc::new(updated);
            }
        }
        self.rebuild_pools();
    }

    /// replaces the VMs
    pub fn set_vms(&mut self, vms: &[Vm], location: &Location) {
        let mut endpoints = HashMap::new();
        for vm in vms {
            let endpoint = self.endpoint(vm, location);
            self.apply_drain(&endpoint);
            endpoint.lock().cache.set_vm_count(vms.len());
            endpoints.insert(vm.name.clone(), Arc::new(endpoint));
        }
        self.endpoints = endpoints;
        self.expire_drains();
        self.rebuild_pools();
    }

    /// records that a VM is draining, with a notice that ends at `until`
    pub fn start_drain(&mut self, name: &str, until: Instant) {
        let endpoint = self.endpoints.get(name);
        let address = endpoint.map(|endpoint| endpoint.vm.address.clone());
        if let Some(endpoint) = endpoint {
            endpoint.set_draining(true);
        }
        let drain = self.drains.entry(name.to_owned()).or_insert(Drain {
            address: None,
            until,
            absent_lists: 0,
        });
        drain.address = address.or_else(|| drain.address.take());
        drain.until = drain.until.max(until);
    }

    /// ends the drain of a VM whose load report shows no drain, unless its notice is recent
    pub fn end_drain(&mut self, name: &str, now: Instant) {
        let Some(drain) = self.drains.get(name) else {
            return;
        };
        if now < drain.until + DRAIN_HOLD {
            return;
        }
        self.drains.remove(name);
        if let Some(endpoint) = self.endpoints.get(name) {
            endpoint.set_draining(false);
        }
    }

    /// whether a VM is draining
    pub fn is_draining(&self, name: &str) -> bool {
        self.drains.contains_key(name)
    }

    /// statistics of a service, if it is declared
    pub fn stats(&self, service: &str) -> Option<&Arc<Stats>> {
        self.services.get(service)
    }

    /// VMs of a service
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// VM with the given name
    pub fn find(&self, name: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(name)
    }

    /// all VMs
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// creates the endpoint of a listed VM; keeps the state if name and address are the same
    fn endpoint(&self, vm: &Vm, location: &Location) -> Endpoint {
        let tier = location.tier(vm);
        let stats = match self.services.get(&vm.service) {
            Some(stats) => Arc::clone(stats),
            None => Arc::new(Stats::new()),
        };
        match self.endpoints.get(&vm.name) {
            Some(old) if old.vm.address == vm.address => old.updated(vm.clone(), tier, stats),
            _ => Endpoint::new(vm.clone(), tier, stats),
        }
    }

    /// applies a drain to a listed VM; a name with a new address is another VM and is not
    /// draining
    fn apply_drain(&mut self, endpoint: &Endpoint) {
        let Some(drain) = self.drains.get_mut(&endpoint.vm.name) else {
            return;
        };
        match &drain.address {
            Some(address) if *address != endpoint.vm.address => {
                self.drains.remove(&endpoint.vm.name);
            }
            _ => {
                drain.address = Some(endpoint.vm.address.clone());
                endpoint.set_draining(true);
            }
        }
    }

    /// drops the drains of VMs that have been missing from too many lists
    fn expire_drains(&mut self) {
        for (name, drain) in &mut self.drains {
            let listed = self.endpoints.contains_key(name);
            drain.absent_lists = if listed { 0 } else { drain.absent_lists + 1 };
        }
        self.drains
            .retain(|_, drain| drain.absent_lists < MAX_ABSENT_LISTS);
    }

    fn rebuild_pools(&mut self) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        for endpoint in self.endpoints.values() {
            if !self.services.contains_key(&endpoint.vm.service) {
                continue;
            }
            let pool = pools.entry(endpoint.vm.service.clone()).or_default();
            pool.tiers[endpoint.tier as usize].push(Arc::clone(endpoint));
        }
        for pool in pools.values_mut() {
            for tier in &mut pool.tiers {
                tier.sort_by(|one, other| one.vm.name.cmp(&other.vm.name));
            }
        }
        self.pools = pools;
    }
}
