//! Policies to compare.

use fleet::{Action, Pool, State, StoreStatus, View, plan, pools};
use schema::cloud::Market;
use schema::config::{Capacity, Upstream};

use crate::cloud::{Cloud, LAG};
use crate::planner::{capacity, demand};

/// kind of policy
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// plans of this crate
    Ours,
    /// the same, with on-demand VMs only
    OnDemand,
    /// the same, with all new VMs in the currently cheapest zone and no cover for its loss
    Cheapest,
}

/// policy with its state
pub struct Policy {
    kind: Kind,
    state: State,
    capacity: Capacity,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Ours => "ours",
            Kind::OnDemand => "all on-demand",
            Kind::Cheapest => "cheapest zone",
        }
    }
}

impl Policy {
    pub fn new(kind: Kind, cloud: &Cloud) -> Self {
        let mut capacity = capacity(3, 80);
        capacity.spare = 2;
        Policy {
            kind,
            state: State::new(7, cloud.now),
            capacity,
        }
    }

    /// plans and acts
    pub fn step(&mut self, cloud: &mut Cloud, requests: u32) {
        let now = cloud.now;
        let upstreams = Cloud::upstreams();
        let upstreams: Vec<&Upstream> = upstreams.iter().collect();
        let vms = cloud.list(LAG);
        let pools = self.pools(pools(&upstreams, &cloud.prices(), &vms), cloud);
        let loads = cloud.loads();
        let store = StoreStatus::Reachable;
        let view = View {
            service: "desk",
            vms: &vms,
            pools: &pools,
            loads: &loads,
            store,
        };
        self.state.record_demand(&demand(requests), now);
        self.state.update(&view, now);
        for action in plan(&view, &self.capacity, &self.state, now) {
            let accepted = cloud.execute(&action);
            match &action {
                Action::Start(start) if accepted => {
                    self.state.record_start(&start.name, &start.pool, now);
                }
                Action::Start(start) => self.state.record_refusal(&start.pool, now),
                Action::Drain(name) => self.state.record_drain(name, now),
                Action::Remove(name) => self.state.record_removal(name, now),
            }
        }
    }

    fn pools(&self, mut pools: Vec<Pool>, cloud: &Cloud) -> Vec<Pool> {
        match self.kind {
            Kind::Ours => {}
            Kind::OnDemand => pools.retain(|pool| pool.market == Market::OnDemand),
            Kind::Cheapest => {
                pools.retain(|pool| pool.market == Market::Reclaimable);
                let cheapest = cloud.reclaimable_micros.iter().min().copied();
                let zone = pools
                    .iter()
                    .find(|pool| Some(pool.micros_per_hour) == cheapest)
                    .map(|pool| pool.zone.clone());
                for pool in &mut pools {
                    // other zones keep their VMs, but their price rules out new ones
                    if Some(&pool.zone) != zone.as_ref() {
                        pool.micros_per_hour = u64::MAX / 1_000_000;
                    }
                }
            }
        }
        pools
    }
}
