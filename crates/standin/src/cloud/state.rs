//! State of the simulated cloud: VMs, the delayed list of them, notices and prices.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use schema::cloud::{List, Market, Notice, Price, Prices, Start, State as VmState, Vm};

use super::control::{Bill, Charge, Faults, Reclaim, Registration};
use super::machine::Machine;
use super::options::Options;
use crate::engine;

/// why a start was rejected
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// no capacity in this zone and market
    NoCapacity,
    /// the name belongs to a VM with another zone, class, market or upstream
    NameTaken,
}

/// a preemption notice to forward to the address of a VM
#[derive(Clone, Debug)]
pub struct ForwardedNotice {
    /// `ip:port`
    pub address: String,
    /// time until the VM is removed, seconds
    pub seconds: u32,
}

/// state of the cloud, guarded by one lock
#[derive(Debug)]
pub struct State {
    /// active faults
    pub faults: Faults,
    options: Options,
    engine: engine::Options,
    machines: BTreeMap<String, Machine>,
    removed_charges: Vec<Charge>,
    list_history: VecDeque<ListSnapshot>,
    notices: Vec<Notice>,
    prices: Vec<Price>,
}

/// the list of VMs from a time on, until the next snapshot
#[derive(Debug)]
struct ListSnapshot {
    at: Instant,
    list: List,
}

impl State {
    /// a cloud without VMs; with `spawn_engines`, its VMs run engines with the settings `engine`
    pub fn new(options: Options, engine: engine::Options) -> Self {
        Self {
            faults: Faults::default(),
            options,
            engine,
            machines: BTreeMap::new(),
            removed_charges: Vec::new(),
            list_history: VecDeque::new(),
            notices: Vec::new(),
            prices: Vec::new(),
        }
    }

    /// starts a VM; true if it is new, false if the same VM exists already
    pub fn start(&mut self, name: &str, start: &Start) -> Result<(Vm, bool), Rejection> {
        if let Some(machine) = self.machines.get(name) {
            let same = machine.vm.zone == start.zone
                && machine.vm.class == start.class
                && machine.vm.market == start.market
                && machine.vm.upstream == start.upstream;
            return if same {
                Ok((machine.vm.clone(), false))
            } else {
                Err(Rejection::NameTaken)
            };
        }
        if self
            .faults
            .refuse
            .iter()
            .any(|refusal| refusal.covers(&start.zone, start.market))
        {
            return Err(Rejection::NoCapacity);
        }
        let vm = Vm {
            name: name.to_owned(),
            upstream: start.upstream.clone(),
            zone: start.zone.clone(),
            class: start.class.clone(),
            market: start.market,
            state: VmState::Starting,
            address: String::new(),
            seconds_left: None,
        };
        let machine = Machine::new(vm.clone(), Duration::from_millis(self.options.start_ms));
        self.machines.insert(name.to_owned(), machine);
        self.record_list();
        Ok((vm, true))
    }

    /// adds a VM that the test runs itself
    pub fn register(&mut self, registration: Registration) {
        let mut machine = Machine::new(registration.vm, Duration::ZERO);
        machine.forward_notice = registration.forward_notice;
        self.machines.insert(machine.vm.name.clone(), machine);
        self.record_list();
    }

    /// removes a VM at once; false if there is none of this name
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(mut machine) = self.machines.remove(name) else {
            return false;
        };
        machine.accrue(self.price(&machine.vm));
        self.removed_charges.push(machine.charge());
        if let Some(engine) = &machine.engine {
            engine.kill();
        }
        self.record_list();
        true
    }

    /// reclaims VMs after a preemption notice; returns the notices to forward
    pub fn reclaim(&mut self, reclaim: &Reclaim) -> Vec<ForwardedNotice> {
        let mut forwards = Vec::new();
        let time = Duration::from_secs(u64::from(reclaim.seconds));
        for machine in self.machines.values_mut() {
            let selected = if reclaim.vm.is_empty() {
                machine.is_reclaimable_in(&reclaim.zone)
            } else {
                machine.vm.name == reclaim.vm
            };
            if !selected || machine.reclaim_at.is_some() {
                continue;
            }
            machine.vm.state = VmState::Leaving;
            machine.vm.seconds_left = Some(reclaim.seconds);
            machine.reclaim_at = Some(Instant::now() + time);
            if let Some(engine) = &machine.engine {
                engine.receive_notice(time);
            }
            if machine.forward_notice {
                let address = machine.vm.address.clone();
                forwards.push(ForwardedNotice {
                    address,
                    seconds: reclaim.seconds,
                });
            }
            let number = self.notices.len() as u64 + 1;
            let vm = machine.vm.name.clone();
            self.notices.push(Notice {
                number,
                vm,
                seconds: reclaim.seconds,
            });
        }
        self.record_list();
        forwards
    }

    /// makes VMs live whose boot time has passed, and removes those whose notice period has
    pub fn advance(&mut self) {
        let now = Instant::now();
        let mut changed = false;
        for machine in self
            .machines
            .values_mut()
            .filter(|machine| machine.is_start_due(now))
        {
            if self.options.spawn_engines {
                machine.engine = engine::Server::start(self.engine.clone()).ok();
                let address = machine.engine.as_ref().map(engine::Server::address);
                machine.vm.address = address.map(|a| a.to_string()).unwrap_or_default();
            }
            machine.vm.state = VmState::Live;
            changed = true;
        }
        if changed {
            self.record_list();
        }
        let due = self
            .machines
            .values()
            .filter(|machine| machine.is_reclaim_due(now));
        for name in due
            .map(|machine| machine.vm.name.clone())
            .collect::<Vec<_>>()
        {
            self.remove(&name);
        }
    }

    /// the list of VMs as it was `lag_ms` ago
    pub fn list(&mut self) -> List {
        let lag = Duration::from_millis(self.options.lag_ms);
        while self
            .list_history
            .get(1)
            .is_some_and(|next| next.at.elapsed() >= lag)
        {
            self.list_history.pop_front();
        }
        match self.list_history.front() {
            Some(snapshot) if snapshot.at.elapsed() >= lag => snapshot.list.clone(),
            _ => List { vms: Vec::new() },
        }
    }

    /// calls `run` with the engine of a VM; `None` if the VM has none
    pub fn with_engine<T>(&self, name: &str, run: impl FnOnce(&engine::Server) -> T) -> Option<T> {
        self.machines
            .get(name)
            .and_then(|machine| machine.engine.as_ref())
            .map(run)
    }

    /// notices after number `since`
    pub fn notices(&self, since: u64) -> Vec<Notice> {
        self.notices
            .iter()
            .filter(|notice| notice.number > since)
            .cloned()
            .collect()
    }

    /// prices that were set, without the defaults
    pub fn prices(&self) -> Prices {
        Prices {
            prices: self.prices.clone(),
        }
    }

    /// replaces all prices; costs up to now accrue at the old ones
    pub fn set_prices(&mut self, prices: Prices) {
        self.accrue_all();
        self.prices = prices.prices;
    }

    /// cost of all VMs so far
    pub fn bill(&mut self) -> Bill {
        self.accrue_all();
        let mut charges = self.removed_charges.clone();
        charges.extend(self.machines.values().map(Machine::charge));
        let micros = charges.iter().map(|charge| charge.micros).sum();
        Bill { charges, micros }
    }

    fn accrue_all(&mut self) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let price = self.price(&self.machines[&name].vm);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.accrue(price);
            }
        }
    }

    fn price(&self, vm: &Vm) -> u64 {
        let matches = |price: &&Price| {
            price.zone == vm.zone && price.class == vm.class && price.market == vm.market
        };
        let default = match vm.market {
            Market::Reclaimable => self.options.reclaimable_micros,
            Market::OnDemand => self.options.on_demand_micros,
        };
        self.prices
            .iter()
            .find(matches)
            .map_or(default, |price| price.micros_per_hour)
    }

    fn record_list(&mut self) {
        let vms = self
            .machines
            .values()
            .map(|machine| machine.vm.clone())
            .collect();
        self.list_history.push_back(ListSnapshot {
            at: Instant::now(),
            list: List { vms },
        });
    }
}
