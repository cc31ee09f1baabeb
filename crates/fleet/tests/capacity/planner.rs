//! Planner with its own state and its own view of the simulated cloud.

use fleet::{Action, Demand, State, StoreStatus, View, plan, pools};
use schema::cloud::Vm;
use schema::config::{Capacity, Upstream};

use crate::cloud::{Cloud, LAG};

/// a planner of the service `desk`
#[derive(Debug)]
pub struct Planner {
    pub state: State,
    pub lag: usize,
    pub store: StoreStatus,
}

/// capacity settings with a floor and a ceiling
pub fn capacity(floor: u32, ceiling: u32) -> Capacity {
    Capacity {
        service: "desk".to_owned(),
        floor,
        ceiling,
        spare: 1,
        load_percent: 70,
        on_demand_percent: 0,
        hold: false,
    }
}

/// demand of both regions, two thirds of it in the south
pub fn demand(requests: u32) -> Vec<Demand> {
    let north = requests / 3;
    let demand = |region: &str, in_flight| Demand {
        region: region.to_owned(),
        in_flight,
        queued: 0,
    };
    vec![demand("south", requests - north), demand("north", north)]
}

impl Planner {
    pub fn new(cloud: &Cloud) -> Self {
        Planner {
            state: State::new(1, cloud.now),
            lag: LAG,
            store: StoreStatus::Reachable,
        }
    }

    /// plans from the current view of the cloud
    pub fn plan(&mut self, cloud: &Cloud, capacity: &Capacity) -> Vec<Action> {
        let upstreams = Cloud::upstreams();
        let upstreams: Vec<&Upstream> = upstreams.iter().collect();
        let vms = cloud.list(self.lag);
        let pools = pools(&upstreams, &cloud.prices(), &vms);
        let loads = cloud.loads();
        let view = View {
            service: "desk",
            vms: &vms,
            pools: &pools,
            loads: &loads,
            store: self.store,
        };
        self.state.update(&view, cloud.now);
        let actions = plan(&view, capacity, &self.state, cloud.now);
        let again = plan(&view, capacity, &self.state, cloud.now);
        assert_eq!(
            actions, again,
            "the plan differs for the same view and state"
        );
        actions
    }

    /// executes a plan and records the results
    pub fn act(&mut self, cloud: &mut Cloud, actions: &[Action]) {
        for action in actions {
            let accepted = cloud.execute(action);
            match action {
                Action::Start(start) if accepted => {
                    self.state.record_start(&start.name, &start.pool, cloud.now);
                }
                Action::Start(start) => self.state.record_refusal(&start.pool, cloud.now),
                Action::Drain(name) => self.state.record_drain(name, cloud.now),
                Action::Remove(name) => self.state.record_removal(name, cloud.now),
            }
        }
    }

    /// advances the time by one step, plans and acts
    pub fn step(&mut self, cloud: &mut Cloud, capacity: &Capacity, requests: u32) -> Vec<Action> {
        cloud.advance();
        self.state.record_demand(&demand(requests), cloud.now);
        let actions = self.plan(cloud, capacity);
        self.act(cloud, &actions);
        actions
    }

    /// runs a number of steps with constant demand
    pub fn settle(&mut self, cloud: &mut Cloud, capacity: &Capacity, requests: u32, steps: usize) {
        for _ in 0..steps {
            self.step(cloud, capacity, requests);
        }
    }

    /// records preemption notices
    pub fn record_notices(&mut self, cloud: &Cloud, noticed: &[Vm]) {
        for vm in noticed {
            self.state.record_notice(&vm.name, 30, cloud.now);
        }
    }
}
