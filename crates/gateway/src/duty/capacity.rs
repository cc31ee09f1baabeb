//! Ordering of upstream VMs by zone and price class, as planned by `fleet::zones`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fleet::zones::{
    self, Constraints, Demand, Need, OrderHistory, Peak, PoolOrder, Timing, VmCounts, Zone,
};
use tokio::time::{Instant, timeout};

use super::Lease;
use crate::adapter::{Capacity, Cloud, CloudError, Dialect};
use crate::model::{Health, Scaling, Service};
use crate::peers::Peers;
use crate::shared::Shared;

/// longest interval between two plans
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// engine utilisation to plan for in normal operation
const TARGET_UTILISATION: f64 = 0.45;

/// engine utilisation above which callers wait too long
const MAX_UTILISATION: f64 = 0.60;

/// engine utilisation to accept while the VMs of two zones are lost: callers wait longer, but
/// few are refused
const DEGRADED_UTILISATION: f64 = 0.85;

/// longest learned duration of a stream that is planned for, seconds: streams on saturated engines
/// last longer, and would be answered with more VMs than the demand needs
const MAX_STREAM_S: f64 = 2.0;

/// fraction of the VMs live at the start of a term that is kept until demand is known
const INITIAL_VMS_FRACTION: f64 = 0.85;

/// time after the first list of VMs, or the start of a term, within which all live VMs have
/// registered
const REGISTRATION_TIME: Duration = Duration::from_secs(4);

/// time after the start of a term in which demand is not known well enough to order fewer VMs
/// than [`INITIAL_VMS_FRACTION`] of those found
const WARM_UP: Duration = Duration::from_secs(20);

/// planning state of a service during a term
struct State {
    history: OrderHistory,
    peak: Peak,
    initial_vms: u32,
    started_at: Instant,
}

/// orders VMs while this daemon holds the lease, for as long as the process runs
pub async fn order_capacity<D: Dialect, C: Cloud>(
    shared: Rc<Shared<D>>,
    cloud: Rc<C>,
    duty: (Rc<Lease>, Rc<Peers>),
) {
    let (lease, peers) = duty;
    let mut states: HashMap<String, State> = HashMap::new();
    let mut last_fence = None;
    loop {
        // plan at once after a preemption notice: replacements take as long to start as the
        // reclaimed VMs take to terminate
        let _ = timeout(PLAN_INTERVAL, shared.vms_changed.notified()).await;
        let fence = lease.fence();
        if fence != last_fence {
            states.clear();
            last_fence = fence;
        }
        let Some(listed_at) = shared.listed_at.get().filter(|_| fence.is_some()) else {
            continue;
        };
        let is_complete = listed_at.elapsed() >= REGISTRATION_TIME;
        let Some(config) = shared.config() else {
            continue;
        };
        for service in config.services.values() {
            if let Some(scaling) = &service.scaling {
                let orders = plan(&shared, &peers, service, scaling, &mut states);
                let target = shared.rollout_target(&service.name);
                // before all live VMs have registered, and while there are two versions, orders may only
                // add VMs
                let may_reduce = is_complete && target.is_none();
                let is_safe = |order: &PoolOrder| may_reduce || order.is_increase;
                for mut order in orders.into_iter().filter(is_safe) {
                    if target.is_some() {
                        let live = live_in_pool(&shared, service, &order);
                        order.count = order.count.max(live);
                    }
                    let state = states.get_mut(&service.name);
                    send(&*cloud, &lease, service, &order, state).await;
                }
            }
        }
    }
}

/// the orders to send for a service
fn plan<D: Dialect>(
    shared: &Shared<D>,
    peers: &Peers,
    service: &Service,
    scaling: &Scaling,
    states: &mut HashMap<String, State>,
) -> Vec<PoolOrder> {
    let now = Instant::now();
    let zones = zones(shared, service, scaling);
    let live: u32 = zones
        .iter()
        .map(|zone| zone.live.reclaimable + zone.live.on_demand)
        .sum();
    let state = states.entry(service.name.clone()).or_insert_with(|| State {
        history: OrderHistory::new(),
        peak: Peak::new(),
        initial_vms: live,
        started_at: now,
    });
    let rate = peers.rate(shared, &service.name);
    let demand = Demand {
        prefill_tokens: rate.prefill_tokens,
        streams: rate.requests,
    };
    let timing = timing(shared, service);
    let peak = state
        .peak
        .record(demand.vms(&timing, TARGET_UTILISATION), now);
    let minimum = demand.vms(&timing, MAX_UTILISATION).ceil() as u32;
    let mut target = peak;
    if now < state.started_at + REGISTRATION_TIME {
        state.initial_vms = state.initial_vms.max(live);
    }
    if now < state.started_at + WARM_UP {
        target = target.max(f64::from(state.initial_vms) * INITIAL_VMS_FRACTION);
    }
    let need = Need {
        target: target.ceil() as u32,
        minimum,
        after_zone_loss: demand.vms(&timing, DEGRADED_UTILISATION).ceil() as u32,
    };
    let constraints = Constraints {
        min: scaling.min,
        max: scaling.max,
        boot_time: scaling.boot,
        reclaimable: scaling.reclaimable_price.is_some(),
    };
    let orders = zones::orders(&zones, &constraints, need, &state.history, now);
    if !orders.is_empty() {
        tracing::info!(
            event = "capacity_planned",
            service = service.name,
            ample = need.target,
            least = need.minimum,
            bare = need.after_zone_loss,
            live,
            unread_per_second = demand.prefill_tokens.round(),
            streams_per_second = demand.streams.round(),
            tokens_per_second = timing.prefill_tokens_per_s.round(),
            stream_ms = (timing.stream_s * 1000.0).round(),
            orders = orders.len(),
        );
    }
    orders
}

/// times of a service's engines, as learned from responses
fn timing<D: Dialect>(shared: &Shared<D>, service: &Service) -> Timing {
    let learned = shared.placement.borrow().learned(&service.name);
    learned.map_or_else(Timing::default, |learned| Timing {
        prefill_tokens_per_s: learned.tokens_per_ms * 1000.0,
        stream_s: learned.slot_time.as_secs_f64().min(MAX_STREAM_S),
    })
}

/// live VMs of all versions in the pool of an order
fn live_in_pool<D: Dialect>(shared: &Shared<D>, service: &Service, order: &PoolOrder) -> u32 {
    let vms = shared.vms.borrow();
    let in_pool = vms.values().filter(|vm| {
        vm.service == service.name
            && vm.health == Health::Ready
            && vm.zone == order.zone
            && vm.reclaimable == order.reclaimable
    });
    u32::try_from(in_pool.count()).unwrap_or(u32::MAX)
}

/// zones of a service with their prices and live VMs, without those of a version to which the service is
/// being moved: the doubled number is no idle capacity
fn zones<D: Dialect>(shared: &Shared<D>, service: &Service, scaling: &Scaling) -> Vec<Zone> {
    let mut live_by_zone: HashMap<&str, VmCounts> = HashMap::new();
    let target = shared.rollout_target(&service.name);
    let vms = shared.vms.borrow();
    for vm in vms.values() {
        let is_target = target.as_ref() == Some(&vm.version);
        if vm.service != service.name || vm.health != Health::Ready || is_target {
            continue;
        }
        let live = live_by_zone.entry(&vm.zone).or_default();
        if vm.reclaimable {
            live.reclaimable += 1;
        } else {
            live.on_demand += 1;
        }
    }
    let mut names: Vec<(&String, &f64)> = scaling.zone_prices.iter().collect();
    names.sort_by(|one, other| one.0.cmp(other.0));
    let zone = |(name, price): (&String, &f64)| Zone {
        name: name.clone(),
        price: *price,
        live: live_by_zone.get(name.as_str()).copied().unwrap_or_default(),
    };
    names.into_iter().map(zone).collect()
}

async fn send<C: Cloud>(
    cloud: &C,
    lease: &Lease,
    service: &Service,
    order: &PoolOrder,
    state: Option<&mut State>,
) {
    let (Some(permit), Some(state)) = (lease.permit(), state) else {
        return;
    };
    let capacity = Capacity {
        service: service.name.clone(),
        zone: order.zone.clone(),
        reclaimable: order.reclaimable,
        count: order.count,
    };
    let result = cloud.set_capacity(&permit, &capacity).await;
    let now = Instant::now();
    let history = &mut state.history;
    match &result {
        Ok(()) => history.record_accepted(&order.zone, order.reclaimable, order.count, now),
        Err(CloudError::Unavailable | CloudError::Refused(_)) => {
            history.record_refused(&order.zone, order.reclaimable, now);
        }
        Err(CloudError::Unknown(_)) => history.record_unknown(&order.zone, order.reclaimable),
    }
    tracing::info!(
        event = "capacity_ordered",
        service = capacity.service,
        zone = capacity.zone,
        reclaimable = capacity.reclaimable,
        count = capacity.count,
        fence = permit.fence,
        fault = result.err().map(|error| error.to_string()),
    );
}
