//! One step after the other.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::cloud::{Price, Vm};
use schema::config::{Capacity, Declaration, Upstream};
use tokio::time::Instant;

use super::act::Act;
use super::permit::Permit;
use super::report::{Input, Report};
use crate::cloud::{Cloud, Error};
use crate::plan::{is_own, plan};
use crate::state::State;
use crate::view::{View, places};

/// time for which prices are taken as current
const PRICE_AGE: Duration = Duration::from_secs(60);

/// steers the VMs of every service
#[derive(Debug)]
pub struct Steward {
    seed: u64,
    states: BTreeMap<String, State>,
    prices: Vec<Price>,
    priced: Option<Instant>,
    vms: Vec<Vm>,
}

impl Steward {
    /// a steward without a memory; the seed spreads the waits of several
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Steward {
            seed,
            states: BTreeMap::new(),
            prices: Vec::new(),
            priced: None,
            vms: Vec::new(),
        }
    }

    /// takes in a reclaim notice, from whichever source it came first
    pub fn notice(&mut self, vm: &str, seconds: u32, now: Instant) {
        for state in self.states.values_mut() {
            state.notice(vm, seconds, now);
        }
    }

    /// reads the list, plans every service of the preset in force and acts
    ///
    /// # Errors
    /// When the list can't be read; nothing was done then.
    pub fn step<C: Cloud + Sync, P: Permit + Sync>(
        &mut self,
        cloud: &C,
        permit: &P,
        input: &Input<'_>,
        now: Instant,
    ) -> Result<Report, Error> {
        self.vms = cloud.list()?;
        self.update_prices(cloud, now);
        let mut report = Report {
            unknown: unknown(&self.vms, input.declaration),
            ..Report::default()
        };
        let act = Act { cloud, permit, now };
        for capacity in capacities(input.declaration) {
            self.step_service(&act, capacity, input, &mut report);
            if report.is_stopped {
                break;
            }
        }
        Ok(report)
    }

    fn update_prices<C: Cloud>(&mut self, cloud: &C, now: Instant) {
        if self.priced.is_some_and(|at| now < at + PRICE_AGE) {
            return;
        }
        // old prices do until new ones can be had
        if let Ok(prices) = cloud.prices() {
            self.prices = prices;
            self.priced = Some(now);
        }
    }

    fn step_service<C: Cloud + Sync, P: Permit + Sync>(
        &mut self,
        act: &Act<'_, C, P>,
        capacity: &Capacity,
        input: &Input<'_>,
        report: &mut Report,
    ) {
        let upstreams = upstreams(input.declaration, &capacity.service);
        let vms: Vec<Vm> = self
            .vms
            .iter()
            .filter(|vm| belongs(vm, capacity, input.declaration))
            .cloned()
            .collect();
        let places = places(&upstreams, &self.prices, &vms);
        let view = View {
            service: &capacity.service,
            vms: &vms,
            places: &places,
            loads: input.loads,
            store: input.store,
        };
        let now = act.now;
        let new = || State::new(self.seed, now);
        let state = self
            .states
            .entry(capacity.service.clone())
            .or_insert_with(new);
        if let Some(demand) = input.demand.get(&capacity.service) {
            state.observe(demand, now);
        }
        state.see(&view, now);
        let actions = plan(&view, capacity, state, now);
        act.carry_out(&actions, state, report);
    }
}

fn capacities(declaration: &Declaration) -> &[Capacity] {
    let preset = declaration
        .presets
        .iter()
        .find(|preset| preset.name == declaration.preset);
    preset
        .map(|preset| preset.capacity.as_slice())
        .unwrap_or_default()
}

fn upstreams<'a>(declaration: &'a Declaration, service: &str) -> Vec<&'a Upstream> {
    declaration
        .upstreams
        .iter()
        .filter(|upstream| upstream.service == service)
        .collect()
}

/// whether a VM is one of a service: of one of its upstreams, or started for one that is gone
fn belongs(vm: &Vm, capacity: &Capacity, declaration: &Declaration) -> bool {
    match upstream(vm, declaration) {
        Some(upstream) => upstream.service == capacity.service,
        None => !vm.upstream.is_empty() && is_own(&capacity.service, &vm.name),
    }
}

fn upstream<'a>(vm: &Vm, declaration: &'a Declaration) -> Option<&'a Upstream> {
    declaration
        .upstreams
        .iter()
        .find(|upstream| upstream.name == vm.upstream)
}

/// VMs of upstreams that nobody declares and no planner started
fn unknown(vms: &[Vm], declaration: &Declaration) -> Vec<String> {
    let mut names = Vec::new();
    for vm in vms {
        let is_daemon = vm.upstream.is_empty();
        let mut planned = capacities(declaration).iter();
        let is_planned = planned.any(|capacity| is_own(&capacity.service, &vm.name));
        if !is_daemon && !is_planned && upstream(vm, declaration).is_none() {
            names.push(vm.name.clone());
        }
    }
    names
}
