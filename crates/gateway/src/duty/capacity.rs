//! Ordering upstream VMs by zone and price class, as `fleet::zones` decides.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fleet::zones::{
    self, Constraints, Demand, Need, OrderHistory, Peak, PoolOrder, VmCounts, Zone,
};
use tokio::time::{Instant, timeout};

use super::Holder;
use crate::adapter::{Capacity, Cloud, CloudError, Dialect};
use crate::model::{Health, Scaling, Service};
use crate::peers::Peers;
use crate::shared::Shared;

/// time between two plans
const TICK: Duration = Duration::from_millis(500);

/// part of an engine's capacity to fill on ordinary days
const FILL: f64 = 0.45;

/// part of an engine's capacity above which callers wait too long
const FILL_MOST: f64 = 0.60;

/// part of an engine's capacity to fill while the VMs of two zones are gone: callers wait
/// longer, but few are refused
const FILL_BARE: f64 = 0.85;

/// part of the VMs found at the start of a term that is kept until demand is known
const FOUND_PART: f64 = 0.85;

/// time after the first list of VMs, or the start of a term, in which those that are there
/// register themselves
const LOOK: Duration = Duration::from_secs(4);

/// time of a term in which demand is not known well enough to go below what was found
const WARM_UP: Duration = Duration::from_secs(20);

/// what is remembered of a service during a term
struct State {
    memory: OrderHistory,
    peak: Peak,
    found: u32,
    since: Instant,
}

/// orders VMs for as long as the process runs
pub async fn capacity<D: Dialect, C: Cloud>(
    shared: Rc<Shared<D>>,
    cloud: Rc<C>,
    duty: (Rc<Holder>, Rc<Peers>),
) {
    let (holder, peers) = duty;
    let mut states: HashMap<String, State> = HashMap::new();
    let mut term = None;
    loop {
        // a notice is answered at once: what replaces the VMs needs as long to start as
        // they take to leave
        let _ = timeout(TICK, shared.vms_changed.notified()).await;
        let fence = holder.fence();
        if fence != term {
            states.clear();
            term = fence;
        }
        let Some(listed) = shared.listed.get().filter(|_| fence.is_some()) else {
            continue;
        };
        let is_complete = listed.elapsed() >= LOOK;
        let Some(config) = shared.config() else {
            continue;
        };
        for service in config.services.values() {
            if let Some(scaling) = &service.scaling {
                let wants = plan(&shared, &peers, service, scaling, &mut states);
                // VMs that have not registered yet must not be ordered away
                let is_safe = |want: &PoolOrder| is_complete || want.is_increase;
                for want in wants.into_iter().filter(is_safe) {
                    let state = states.get_mut(&service.name);
                    send(&*cloud, &holder, service, &want, state).await;
                }
            }
        }
    }
}

/// decides what to order for a service
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
        memory: OrderHistory::new(),
        peak: Peak::new(),
        found: live,
        since: now,
    });
    let rate = peers.rate(shared, &service.name);
    let demand = Demand {
        prefill_tokens: rate.unread,
        streams: rate.requests,
    };
    let peak = state.peak.record(demand.vms(FILL), now);
    let least = (demand.vms(FILL_MOST)).ceil() as u32;
    let mut ample = peak;
    if now < state.since + LOOK {
        state.found = state.found.max(live);
    }
    if now < state.since + WARM_UP {
        ample = ample.max(f64::from(state.found) * FOUND_PART);
    }
    let need = Need {
        target: ample.ceil() as u32,
        minimum: least,
        after_zone_loss: demand.vms(FILL_BARE).ceil() as u32,
    };
    let constraints = Constraints {
        min: scaling.min,
        max: scaling.max,
        boot_time: scaling.boot,
        reclaimable: scaling.reclaimable_price.is_some(),
    };
    let wants = zones::orders(&zones, &constraints, need, &state.memory, now);
    if !wants.is_empty() {
        tracing::info!(
            event = "capacity_planned",
            service = service.name,
            ample = need.target,
            least = need.minimum,
            bare = need.after_zone_loss,
            live,
            unread_per_second = demand.prefill_tokens.round(),
            streams_per_second = demand.streams.round(),
            orders = wants.len(),
        );
    }
    wants
}

/// the live VMs of a service by zone
fn zones<D: Dialect>(shared: &Shared<D>, service: &Service, scaling: &Scaling) -> Vec<Zone> {
    let mut stocks: HashMap<&str, VmCounts> = HashMap::new();
    let vms = shared.vms.borrow();
    for vm in vms.values() {
        if vm.service != service.name || vm.health != Health::Ready {
            continue;
        }
        let stock = stocks.entry(&vm.zone).or_default();
        if vm.reclaimable {
            stock.reclaimable += 1;
        } else {
            stock.on_demand += 1;
        }
    }
    let mut names: Vec<(&String, &f64)> = scaling.zone_prices.iter().collect();
    names.sort_by(|one, other| one.0.cmp(other.0));
    let zone = |(name, price): (&String, &f64)| Zone {
        name: name.clone(),
        price: *price,
        live: stocks.get(name.as_str()).copied().unwrap_or_default(),
    };
    names.into_iter().map(zone).collect()
}

async fn send<C: Cloud>(
    cloud: &C,
    holder: &Holder,
    service: &Service,
    want: &PoolOrder,
    state: Option<&mut State>,
) {
    let (Some(permit), Some(state)) = (holder.permit(), state) else {
        return;
    };
    let order = Capacity {
        service: service.name.clone(),
        zone: want.zone.clone(),
        reclaimable: want.reclaimable,
        count: want.count,
    };
    let result = cloud.set_capacity(&permit, &order).await;
    let now = Instant::now();
    let memory = &mut state.memory;
    match &result {
        Ok(()) => memory.record_accepted(&want.zone, want.reclaimable, want.count, now),
        Err(CloudError::Unavailable | CloudError::Refused(_)) => {
            memory.record_refused(&want.zone, want.reclaimable, now);
        }
        Err(CloudError::Unknown(_)) => memory.record_unknown(&want.zone, want.reclaimable),
    }
    tracing::info!(
        event = "capacity_ordered",
        service = order.service,
        zone = order.zone,
        reclaimable = order.reclaimable,
        count = order.count,
        fence = permit.fence,
        fault = result.err().map(|fault| fault.to_string()),
    );
}
