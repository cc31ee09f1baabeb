//! A cloud in virtual time: lagging lists, reclaims, refusals and prices.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fleet::{Action, Load};
use schema::cloud::{Market, Price, State as Life, Vm};
use schema::config::{Fencing, Upstream};
use tokio::time::Instant;

/// time from the order to the running VM
pub const START: Duration = Duration::from_secs(40);

/// time between a notice and the end
pub const NOTICE: Duration = Duration::from_secs(30);

/// time between two plans
pub const STEP: Duration = Duration::from_secs(5);

/// steps by which the list lags
pub const LAG: usize = 2;

/// zones with their regions
pub const ZONES: [(&str, &str); 3] = [("a", "south"), ("b", "south"), ("c", "north")];

/// slots of a VM
pub const SLOTS: u32 = 16;

#[derive(Debug, Clone)]
struct Machine {
    vm: Vm,
    live_at: Instant,
    taken_at: Option<Instant>,
}

/// a cloud with one upstream in each zone
#[derive(Debug)]
pub struct Cloud {
    pub now: Instant,
    /// markets that refuse starts, by zone
    pub refusing: Vec<(usize, Market)>,
    pub reclaimable_micros: [u64; 3],
    /// VMs that were started, all told
    pub starts: usize,
    /// VMs that were removed, all told
    pub removals: usize,
    machines: BTreeMap<String, Machine>,
    lists: VecDeque<Vec<Vm>>,
    drained: BTreeMap<String, Instant>,
    /// VMs that answer nobody
    pub broken: BTreeSet<String>,
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
            broken: BTreeSet::new(),
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

    /// all VMs as they are
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.machines.values().map(|machine| &machine.vm)
    }

    /// VMs of a state
    pub fn count(&self, life: Life) -> usize {
        self.vms().filter(|vm| vm.state == life).count()
    }

    /// VMs that get work: live and not draining
    pub fn serving(&self) -> usize {
        let live = self.vms().filter(|vm| vm.state == Life::Live);
        live.filter(|vm| !self.drained.contains_key(&vm.name) && !self.broken.contains(&vm.name))
            .count()
    }

    /// VMs that are neither leaving nor draining
    pub fn staying(&self) -> usize {
        let vms = self.vms().filter(|vm| vm.state != Life::Leaving);
        vms.filter(|vm| !self.drained.contains_key(&vm.name))
            .count()
    }

    /// the list as it was some steps ago
    pub fn list(&self, lag: usize) -> Vec<Vm> {
        let index = self.lists.len().checked_sub(1 + lag);
        index
            .and_then(|index| self.lists.get(index))
            .cloned()
            .unwrap_or_default()
    }

    /// a drained VM is idle after ten seconds
    pub fn loads(&self) -> Vec<Load> {
        let load = |vm: &Vm| {
            let drained = self.drained.get(&vm.name);
            let idle = drained.is_some_and(|at| self.now >= *at + 2 * STEP);
            let in_flight = if idle { 0 } else { 3 };
            Load {
                vm: vm.name.clone(),
                in_flight,
                draining: drained.is_some(),
                broken: self.broken.contains(&vm.name),
            }
        };
        self.vms().map(load).collect()
    }

    /// lets the time of one step pass
    pub fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.machines
            .retain(|_, machine| machine.taken_at.is_none_or(|at| now < at));
        for machine in self.machines.values_mut() {
            if machine.vm.state == Life::Starting && now >= machine.live_at {
                machine.vm.state = Life::Live;
            }
        }
        let machines = &self.machines;
        self.drained.retain(|name, _| machines.contains_key(name));
        self.broken.retain(|name| machines.contains_key(name));
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

    /// reclaims the reclaimable VMs of a zone; gives those that had a notice
    pub fn reclaim(&mut self, zone: usize) -> Vec<Vm> {
        let here = |vm: &&Vm| vm.zone == ZONES[zone].0;
        let names: Vec<String> = self.vms().filter(here).map(|vm| vm.name.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.reclaim_one(name))
            .collect()
    }

    /// reclaims a VM, if it is reclaimable and had no notice yet
    pub fn reclaim_one(&mut self, name: &str) -> Option<Vm> {
        let machine = self.machines.get_mut(name)?;
        if machine.vm.market == Market::OnDemand || machine.taken_at.is_some() {
            return None;
        }
        machine.vm.state = Life::Leaving;
        machine.taken_at = Some(self.now + NOTICE);
        Some(machine.vm.clone())
    }

    /// carries out an action; whether the cloud took it
    pub fn take(&mut self, action: &Action) -> bool {
        match action {
            Action::Start(start) => {
                let place = &start.place;
                if self.machines.contains_key(&start.name) {
                    return true;
                }
                let refuses = |(zone, market): &(usize, Market)| {
                    ZONES[*zone].0 == place.zone && *market == place.market
                };
                if self.refusing.iter().any(refuses) {
                    return false;
                }
                let vm = Vm {
                    name: start.name.clone(),
                    upstream: place.upstream.clone(),
                    zone: place.zone.clone(),
                    class: place.class.clone(),
                    market: place.market,
                    state: Life::Starting,
                    address: String::new(),
                    seconds_left: None,
                };
                let live_at = self.now + START;
                let machine = Machine {
                    vm,
                    live_at,
                    taken_at: None,
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
