//! The cloud's VMs, its lagging list, notices and prices.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use schema::cloud::{List, Market, Notice, Price, Prices, Start, State as Life, Vm};

use super::control::{Bill, Charge, Faults, Reclaim, Registration};
use super::machine::Machine;
use super::options::Options;
use crate::engine;

/// a start that was not made
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// no capacity in this zone and market
    Capacity,
    /// the name belongs to a VM of another kind
    Different,
}

/// a notice that has to reach the VM's own address
#[derive(Clone, Debug)]
pub struct Forward {
    /// `ip:port`
    pub address: String,
    /// time until it is taken, seconds
    pub seconds: u32,
}

/// everything behind one lock
#[derive(Debug)]
pub struct State {
    /// faults in force
    pub faults: Faults,
    options: Options,
    engine: engine::Options,
    machines: BTreeMap<String, Machine>,
    gone: Vec<Charge>,
    lists: VecDeque<Listed>,
    notices: Vec<Notice>,
    prices: Vec<Price>,
}

/// the list as it was from a time on
#[derive(Debug)]
struct Listed {
    at: Instant,
    list: List,
}

impl State {
    /// a cloud without VMs; started ones run engines with the settings `engine`
    pub fn new(options: Options, engine: engine::Options) -> Self {
        Self {
            faults: Faults::default(),
            options,
            engine,
            machines: BTreeMap::new(),
            gone: Vec::new(),
            lists: VecDeque::new(),
            notices: Vec::new(),
            prices: Vec::new(),
        }
    }

    /// starts a VM; true if it is a new one
    pub fn start(&mut self, name: &str, start: &Start) -> Result<(Vm, bool), Rejection> {
        if let Some(machine) = self.machines.get(name) {
            let same = machine.vm.zone == start.zone
                && machine.vm.class == start.class
                && machine.vm.market == start.market
                && machine.vm.upstream == start.upstream;
            return if same {
                Ok((machine.vm.clone(), false))
            } else {
                Err(Rejection::Different)
            };
        }
        if self
            .faults
            .refuse
            .iter()
            .any(|refusal| refusal.covers(&start.zone, start.market))
        {
            return Err(Rejection::Capacity);
        }
        let vm = Vm {
            name: name.to_owned(),
            upstream: start.upstream.clone(),
            zone: start.zone.clone(),
            class: start.class.clone(),
            market: start.market,
            state: Life::Starting,
            address: String::new(),
            seconds_left: None,
        };
        let machine = Machine::new(vm.clone(), Duration::from_millis(self.options.start_ms));
        self.machines.insert(name.to_owned(), machine);
        self.note_list();
        Ok((vm, true))
    }

    /// adds a VM that a test runs itself
    pub fn register(&mut self, registration: Registration) {
        let mut machine = Machine::new(registration.vm, Duration::ZERO);
        machine.forward_notice = registration.forward_notice;
        self.machines.insert(machine.vm.name.clone(), machine);
        self.note_list();
    }

    /// removes a VM at once; false if there is none
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(mut machine) = self.machines.remove(name) else {
            return false;
        };
        machine.charge(self.price(&machine.vm));
        self.gone.push(machine.charged());
        if let Some(engine) = &machine.engine {
            engine.kill();
        }
        self.note_list();
        true
    }

    /// gives reclaim notices; returns those that have to be passed on
    pub fn reclaim(&mut self, reclaim: &Reclaim) -> Vec<Forward> {
        let mut forwards = Vec::new();
        let time = Duration::from_secs(u64::from(reclaim.seconds));
        for machine in self.machines.values_mut() {
            let meant = if reclaim.vm.is_empty() {
                machine.is_reclaimable_in(&reclaim.zone)
            } else {
                machine.vm.name == reclaim.vm
            };
            if !meant || machine.taken_at.is_some() {
                continue;
            }
            machine.vm.state = Life::Leaving;
            machine.vm.seconds_left = Some(reclaim.seconds);
            machine.taken_at = Some(Instant::now() + time);
            if let Some(engine) = &machine.engine {
                engine.notice(time);
            }
            if machine.forward_notice {
                let address = machine.vm.address.clone();
                forwards.push(Forward {
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
        self.note_list();
        forwards
    }

    /// makes started VMs live and takes those whose time is over
    pub fn advance(&mut self) {
        let now = Instant::now();
        let mut changed = false;
        for machine in self
            .machines
            .values_mut()
            .filter(|machine| machine.is_due_live(now))
        {
            if self.options.spawn_engines {
                machine.engine = engine::Server::start(self.engine.clone()).ok();
                let address = machine.engine.as_ref().map(engine::Server::address);
                machine.vm.address = address.map(|a| a.to_string()).unwrap_or_default();
            }
            machine.vm.state = Life::Live;
            changed = true;
        }
        if changed {
            self.note_list();
        }
        let taken = self
            .machines
            .values()
            .filter(|machine| machine.is_due_taken(now));
        for name in taken
            .map(|machine| machine.vm.name.clone())
            .collect::<Vec<_>>()
        {
            self.remove(&name);
        }
    }

    /// the list as it was `lag_ms` ago
    pub fn list(&mut self) -> List {
        let lag = Duration::from_millis(self.options.lag_ms);
        while self
            .lists
            .get(1)
            .is_some_and(|next| next.at.elapsed() >= lag)
        {
            self.lists.pop_front();
        }
        match self.lists.front() {
            Some(listed) if listed.at.elapsed() >= lag => listed.list.clone(),
            _ => List { vms: Vec::new() },
        }
    }

    /// the engine of a started VM does what `run` says; none if there is none
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

    /// prices that were set
    pub fn prices(&self) -> Prices {
        Prices {
            prices: self.prices.clone(),
        }
    }

    /// sets prices; charges up to now are at the old ones
    pub fn set_prices(&mut self, prices: Prices) {
        self.charge();
        self.prices = prices.prices;
    }

    /// what everything cost so far
    pub fn bill(&mut self) -> Bill {
        self.charge();
        let mut charges = self.gone.clone();
        charges.extend(self.machines.values().map(Machine::charged));
        let micros = charges.iter().map(|charge| charge.micros).sum();
        Bill { charges, micros }
    }

    fn charge(&mut self) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let price = self.price(&self.machines[&name].vm);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.charge(price);
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

    fn note_list(&mut self) {
        let vms = self
            .machines
            .values()
            .map(|machine| machine.vm.clone())
            .collect();
        self.lists.push_back(Listed {
            at: Instant::now(),
            list: List { vms },
        });
    }
}
