//! Periodic step that plans every service and executes the plans.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::cloud::{Price, Vm};
use schema::config::{Capacity, Declaration, Upstream};
use tokio::time::Instant;

use super::execute::Executor;
use super::permit::Permit;
use super::report::{Input, Report};
use crate::cloud::{Cloud, Error};
use crate::plan::{is_managed_name, plan};
use crate::state::State;
use crate::view::{View, pools};

/// age from which prices are read again
const MAX_PRICE_AGE: Duration = Duration::from_secs(60);

/// starts, drains and removes the VMs of every service
#[derive(Debug)]
pub struct Autoscaler {
    seed: u64,
    states: BTreeMap<String, State>,
    prices: Vec<Price>,
    prices_read: Option<Instant>,
    vms: Vec<Vm>,
}

impl Autoscaler {
    /// starts with an empty state; the seed determines the jitter of backoffs
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Autoscaler {
            seed,
            states: BTreeMap::new(),
            prices: Vec::new(),
            prices_read: None,
            vms: Vec::new(),
        }
    }

    /// records a preemption notice; repeated ones for a VM are ignored
    pub fn record_notice(&mut self, vm: &str, seconds: u32, now: Instant) {
        for state in self.states.values_mut() {
            state.record_notice(vm, seconds, now);
        }
    }

    /// lists the VMs, plans every service of the preset in force and executes the plans
    ///
    /// # Errors
    /// When the list can't be read; nothing has been changed then.
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
        let executor = Executor { cloud, permit, now };
        for capacity in capacities(input.declaration) {
            self.step_service(&executor, capacity, input, &mut report);
            if report.is_stopped {
                break;
            }
        }
        Ok(report)
    }

    fn update_prices<C: Cloud>(&mut self, cloud: &C, now: Instant) {
        if self.prices_read.is_some_and(|at| now < at + MAX_PRICE_AGE) {
            return;
        }
        // old prices are used until new ones can be read
        if let Ok(prices) = cloud.prices() {
            self.prices = prices;
            self.prices_read = Some(now);
        }
    }

    fn step_service<C: Cloud + Sync, P: Permit + Sync>(
        &mut self,
        executor: &Executor<'_, C, P>,
        capacity: &Capacity,
        input: &Input<'_>,
        report: &mut Report,
    ) {
        let upstreams = upstreams(input.declaration, &capacity.service);
        let vms: Vec<Vm> = self
            .vms
            .iter()
            .filter(|vm| is_of_service(vm, capacity, input.declaration))
            .cloned()
            .collect();
        let pools = pools(&upstreams, &self.prices, &vms);
        let view = View {
            service: &capacity.service,
            vms: &vms,
            pools: &pools,
            loads: input.loads,
            store: input.store,
        };
        let now = executor.now;
        let new = || State::new(self.seed, now);
        let state = self
            .states
            .entry(capacity.service.clone())
            .or_insert_with(new);
        if let Some(demand) = input.demand.get(&capacity.service) {
            state.record_demand(demand, now);
        }
        state.update(&view, now);
        let actions = plan(&view, capacity, state, now);
        executor.execute(&actions, state, report);
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

/// whether a VM belongs to an upstream of the service, or was started for one that is no longer
/// declared
fn is_of_service(vm: &Vm, capacity: &Capacity, declaration: &Declaration) -> bool {
    match upstream(vm, declaration) {
        Some(upstream) => upstream.service == capacity.service,
        None => !vm.upstream.is_empty() && is_managed_name(&capacity.service, &vm.name),
    }
}

fn upstream<'a>(vm: &Vm, declaration: &'a Declaration) -> Option<&'a Upstream> {
    declaration
        .upstreams
        .iter()
        .find(|upstream| upstream.name == vm.upstream)
}

/// VMs of undeclared upstreams that no planner started
fn unknown(vms: &[Vm], declaration: &Declaration) -> Vec<String> {
    let mut names = Vec::new();
    for vm in vms {
        let is_daemon = vm.upstream.is_empty();
        let mut planned = capacities(declaration).iter();
        let is_planned = planned.any(|capacity| is_managed_name(&capacity.service, &vm.name));
        if !is_daemon && !is_planned && upstream(vm, declaration).is_none() {
            names.push(vm.name.clone());
        }
    }
    names
}
