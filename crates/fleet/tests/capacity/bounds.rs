//! Floor and ceiling under random sequences of events.

use std::collections::BTreeSet;

use fleet::{Action, StoreStatus};
use proptest::prelude::*;
use schema::cloud::{Market, State as VmState};

use crate::cloud::{Cloud, LAG};
use crate::planner::{Planner, capacity};

/// event between two steps
#[derive(Debug, Clone)]
enum Event {
    Demand(u32),
    Reclaim { zone: usize, notified: bool },
    Refuse { zone: usize, on_demand: bool },
    Accept,
    Price { zone: usize, micros: u64 },
    Store(bool),
    Pass(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..300u32).prop_map(Event::Demand),
        (0..3usize, any::<bool>()).prop_map(|(zone, notified)| Event::Reclaim { zone, notified }),
        (0..3usize, any::<bool>()).prop_map(|(zone, on_demand)| Event::Refuse { zone, on_demand }),
        Just(Event::Accept),
        (0..3usize, 50_000..900_000u64).prop_map(|(zone, micros)| Event::Price { zone, micros }),
        any::<bool>().prop_map(Event::Store),
        (1..80usize).prop_map(Event::Pass),
    ]
}

/// applies an event and returns the number of steps to run after it
fn apply(event: &Event, cloud: &mut Cloud, planners: &mut [Planner], requests: &mut u32) -> usize {
    match event {
        Event::Demand(number) => *requests = *number,
        Event::Reclaim { zone, notified } => {
            let noticed = cloud.reclaim(*zone);
            if *notified {
                planners
                    .iter_mut()
                    .for_each(|planner| planner.record_notices(cloud, &noticed));
            }
        }
        Event::Refuse {
            zone,
            on_demand: true,
        } => cloud.refusing.push((*zone, Market::OnDemand)),
        Event::Refuse { zone, .. } => cloud.refusing.push((*zone, Market::Reclaimable)),
        Event::Accept => cloud.refusing.clear(),
        Event::Price { zone, micros } => cloud.reclaimable_micros[*zone] = *micros,
        Event::Store(reachable) => {
            let store = if *reachable {
                StoreStatus::Reachable
            } else {
                StoreStatus::Unreachable
            };
            planners
                .iter_mut()
                .for_each(|planner| planner.store = store);
        }
        Event::Pass(steps) => return *steps,
    }
    1
}

/// VMs that count towards the ceiling without serving: reclaiming, draining, or removed but still
/// listed
///
/// The name of a removed VM can't be reused until the list no longer contains it, as the list
/// would show the old VM in place of the new one. While all names below the ceiling are in use,
/// the floor can't be reached.
fn outgoing(cloud: &Cloud) -> usize {
    let exists = |name: &str| cloud.vms().any(|vm| vm.name == name);
    let listed = cloud.list(LAG);
    let with_used_names = listed
        .iter()
        .filter(|vm| vm.state == VmState::Leaving || !exists(&vm.name));
    let reclaiming = cloud.vms().filter(|vm| vm.state == VmState::Leaving);
    let names: BTreeSet<&str> = reclaiming
        .chain(with_used_names)
        .map(|vm| vm.name.as_str())
        .collect();
    let draining = cloud
        .vms()
        .filter(|vm| vm.state != VmState::Leaving)
        .count()
        - cloud.staying();
    names.len() + draining
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn the_ceiling_holds_for_all_events(
        events in prop::collection::vec(event(), 1..40),
        floor in 0..6u32,
        more in 0..20u32,
    ) {
        let capacity = capacity(floor, floor + more);
        let mut cloud = Cloud::new();
        let mut planners = [Planner::new(&cloud)];
        let mut requests = 40;
        for event in &events {
            for _ in 0..apply(event, &mut cloud, &mut planners, &mut requests) {
                let [planner] = &mut planners;
                let actions = planner.step(&mut cloud, &capacity, requests);
                prop_assert!(cloud.vms().count() <= capacity.ceiling as usize);
                if planner.store == StoreStatus::Unreachable {
                    let only_starts = actions.iter().all(|a| matches!(a, Action::Start(_)));
                    prop_assert!(only_starts, "removal during a store outage: {actions:?}");
                }
            }
        }
    }

    #[test]
    fn two_planners_together_keep_the_ceiling(
        events in prop::collection::vec(event(), 1..40),
        lags in prop::array::uniform2(0..30usize),
        ceiling in 1..20u32,
    ) {
        let capacity = capacity(1, ceiling);
        let mut cloud = Cloud::new();
        let mut planners = [Planner::new(&cloud), Planner::new(&cloud)];
        planners[0].lag = lags[0];
        planners[1].lag = lags[1];
        let mut requests = 40;
        for event in &events {
            for step in 0..apply(event, &mut cloud, &mut planners, &mut requests) {
                // the old lease holder plans, the new one plans and acts, and only then the calls
                // of the old one arrive
                let [old, new] = &mut planners;
                let delayed = old.plan(&cloud, &capacity);
                new.step(&mut cloud, &capacity, requests + u32::try_from(step).unwrap_or(0));
                old.act(&mut cloud, &delayed);
                prop_assert!(cloud.vms().count() <= capacity.ceiling as usize);
            }
        }
    }

    #[test]
    fn the_floor_holds_while_starts_succeed(
        events in prop::collection::vec(event(), 1..40),
        floor in 1..8u32,
        more in 0..20u32,
    ) {
        let capacity = capacity(floor, floor + more);
        let mut cloud = Cloud::new();
        let mut planners = [Planner::new(&cloud)];
        let mut requests = 40;
        for event in &events {
            if matches!(event, Event::Refuse { .. }) {
                continue;
            }
            // without a notice, planners learn of a reclaim only from the lagging list
            let is_unnoticed = matches!(event, Event::Reclaim { notified: false, .. });
            let unaware_steps = if is_unnoticed { LAG + 1 } else { 0 };
            for step in
                0..apply(event, &mut cloud, &mut planners, &mut requests).max(unaware_steps + 1)
            {
                let [planner] = &mut planners;
                planner.step(&mut cloud, &capacity, requests);
                if step < unaware_steps {
                    continue;
                }
                let room = capacity.ceiling as usize - outgoing(&cloud);
                let wanted = room.min(floor as usize);
                prop_assert!(cloud.staying() >= wanted, "{} of {wanted}", cloud.staying());
            }
        }
    }

    #[test]
    fn a_repeated_plan_starts_no_vm_twice(
        requests in 0..400u32,
        floor in 0..8u32,
        more in 0..20u32,
    ) {
        let capacity = capacity(floor, floor + more);
        let mut cloud = Cloud::new();
        cloud.advance();
        let mut first = Planner::new(&cloud);
        let mut second = Planner::new(&cloud);
        for planner in [&mut first, &mut second] {
            planner.state.record_demand(&crate::planner::demand(requests), cloud.now);
        }
        let actions = first.plan(&cloud, &capacity);
        // a planner with an empty state gives the same plan from the same list
        prop_assert_eq!(&second.plan(&cloud, &capacity), &actions);
        first.act(&mut cloud, &actions);
        second.act(&mut cloud, &actions);
        prop_assert_eq!(cloud.vms().count(), actions.len());
        prop_assert_eq!(cloud.starts, actions.len());
        // the list does not contain the new VMs yet
        prop_assert_eq!(first.plan(&cloud, &capacity), Vec::new());
    }
}
