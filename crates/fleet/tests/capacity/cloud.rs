//! Simulated cloud in virtual time, with lagging lists, reclaims, refusals and prices.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fleet::{Action, Load};
use schema::cloud::{Market, Price, State as VmState, Vm};
use schema::config::{Fencing, Upstream};
use tokio::time::Instant;

/// time from the start call until the VM is live
pub const START: Duration = Duration::from_secs(40);

/// time between a preemption notice and the reclaim
pub const NOTICE: Duration = Duration::from_secs(30);

/// time between two plans
pub const STEP: Duration = Duration::from_secs(5);

/// lag of the list, in steps
pub const LAG: usize = 2;

/// zones with their regions
pub const ZONES: [(&str, &str); 3] = [("a", "south"), ("b", "south"), ("c", "north")];

/// slots of a VM
pub const SLOTS: u32 = 16;

#[derive(Debug, Clone)]
struct Machine {
    vm: Vm,
    live_at: Instant,
    reclaim_at: Option<Instant>,
}

/// simulated cloud with one upstream in each zone
#[derive(Debug)]
pub struct Cloud {
    pub now: Instant,
    /// markets that refuse starts, by zone
    pub refusing: Vec<(usize, Market)>,
    pub reclaimable_micros: [u64; 3],
    /// total number of started VMs
    pub starts: usize,
    /// total number of removed VMs
    pub removals: usize,
    machines: BTreeMap<String, Machine>,
    lists: VecDeque<Vec<Vm>>,
    drained: BTreeMap<String, Instant>,
    /// names of unresponsive VMs
    pub unresponsive: BTreeSet<String>,
}

impl Cloud {
    pub fn new() -> Self {
        Cloud {
            now: Instant::now(),
            refusing: Vec::new(),
            reclaimable_micros: [300_000; 3],
            starts: 0,
            removals: 0,
            machines: BTreeMap::new(),
            lists: VecDeque::new(),
            drained: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
        }
    }

    pub fn upstreams() -> Vec<Upstream> {
        let upstream = |(zone, region): (&str, &str)| Upstream {
            name: format!("desk-{zone}"),
            service: "desk".to_owned(),
            data_centre: zone.to_owned(),
            region: region.to_owned(),
            class: "gpu".to_owned(),
            slots: SLOTS,
            fencing: Fencing::Ignored,
            addresses: Vec::new(),
        };
        ZONES.into_iter().map(upstream).collect()
    }

    pub fn prices(&self) -> Vec<Price> {
        let mut prices = Vec::new();
        for (index, (zone, _)) in ZONES.into_iter().enumerate() {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let micros_per_hour = match market {
                    Market::Reclaimable => self.reclaimable_micros[index],
                    Market::OnDemand => 1_000_000,
                };
                let (zone, class) = (zone.to_owned(), "gpu".to_owned());
                prices.push(Price {
                    zone,
                    class,
                    market,
                    micros_per_hour,
                });
            }
        }
        prices
    }

    /// all VMs in their current state
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.machines.values().map(|machine| &machine.vm)
    }

    /// number of VMs in a state
    pub fn count(&self, state: VmState) -> usize {
        self.vms().filter(|vm| vm.state == state).count()
    }

    /// number of VMs that serve requests: live, responsive and not draining
    pub fn serving(&self) -> usize {
        let live = self.vms().filter(|vm| vm.state == VmState::Live);
        live.filter(|vm| {
            !self.drained.contains_key(&vm.name) && !self.unresponsive.contains(&vm.name)
        })
        .count()
    }

    /// number of VMs that are neither reclaiming nor draining
    pub fn staying(&self) -> usize {
        let vms = self.vms().filter(|vm| vm.state != VmState::Leaving);
        vms.filter(|vm| !self.drained.contains_key(&vm.name))
            .count()
    }

    /// the list as it was `lag` steps ago
    pub fn list(&self, lag: usize) -> Vec<Vm> {
        let index = self.lists.len().checked_sub(1 + lag);
        index
            .and_then(|index| self.lists.get(index))
            .cloned()
            .unwrap_or_default()
    }

    /// loads of all VMs; a draining VM is idle after ten seconds
    pub fn loads(&self) -> Vec<Load> {
        let load = |vm: &Vm| {
            let drained = self.drained.get(&vm.name);
            let idle = drained.is_some_and(|at| self.now >= *at + 2 * STEP);
            let in_flight = if idle { 0 } else { 3 };
            Load {
                vm: vm.name.clone(),
                in_flight,
                draining: drained.is_some(),
                unresponsive: self.unresponsive.contains(&vm.name),
            }
        };
        self.vms().map(load).collect()
    }

    /// advances the time by one step
    pub fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.machines
            .retain(|_, machine| machine.reclaim_at.is_none_or(|at| now < at));
        for machine in self.machines.values_mut() {
            if machine.vm.state == VmState::Starting && now >= machine.live_at {
                machine.vm.state = VmState::Live;
            }
        }
        let machines = &self.machines;
        self.drained.retain(|name, _| machines.contains_key(name));
        self.unresponsive.retain(|name| machines.contains_key(name));
        self.lists.push_back(
            self.machines
                .values()
                .map(|machine| machine.vm.clone())
                .collect(),
        );
        if self.lists.len() > 64 {
            self.lists.pop_front();
        }
    }

    /// gives notice to the reclaimable VMs of a zone and returns them
    pub fn reclaim(&mut self, zone: usize) -> Vec<Vm> {
        let here = |vm: &&Vm| vm.zone == ZONES[zone].0;
        let names: Vec<String> = self.vms().filter(here).map(|vm| vm.name.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.reclaim_one(name))
            .collect()
    }

    /// gives notice to a VM and returns it, if it is reclaimable and has no notice yet
    pub fn reclaim_one(&mut self, name: &str) -> Option<Vm> {
        let machine = self.machines.get_mut(name)?;
        if machine.vm.market == Market::OnDemand || machine.reclaim_at.is_some() {
            return None;
        }
        machine.vm.state = VmState::Leaving;
        machine.reclaim_at = Some(self.now + NOTICE);
        Some(machine.vm.clone())
    }

    /// executes an action and returns whether the cloud accepted it
    pub fn execute(&mut self, action: &Action) -> bool {
        match action {
            Action::Start(start) => {
                let pool = &start.pool;
                if self.machines.contains_key(&start.name) {
                    return true;
                }
                let refuses = |(zone, market): &(usize, Market)| {
                    ZONES[*zone].0 == pool.zone && *market == pool.market
                };
                if self.refusing.iter().any(refuses) {
                    return false;
                }
                let vm = Vm {
                    name: start.name.clone(),
                    upstream: pool.upstream.clone(),
                    zone: pool.zone.clone(),
                    class: pool.class.clone(),
                    market: pool.market,
                    state: VmState::Starting,
                    address: String::new(),
                    seconds_left: None,
                };
                let live_at = self.now + START;
                let machine = Machine {
                    vm,
                    live_at,
                    reclaim_at: None,
                };
                self.machines.insert(start.name.clone(), machine);
                self.starts += 1;
            }
            Action::Drain(name) => {
                self.drained.entry(name.clone()).or_insert(self.now);
            }
            Action::Remove(name) => {
                self.removals += usize::from(self.machines.remove(name).is_some());
            }
        }
        true
    }
}
