//! Turns the difference between what runs and what is wanted into actions.

use std::time::Duration;

use schema::config::Capacity;
use tokio::time::Instant;

use super::action::{Action, Start};
use super::mix::{Mix, Search};
use super::need::Need;
use super::stock::{self, Stock, Unit};
use crate::state::State;
use crate::view::{Store, View};

/// time after which every daemon knows that a VM drains
const DRAIN_SETTLE: Duration = Duration::from_secs(10);

/// share of the VMs that is drained in one plan, as a divisor
const DRAIN_SHARE: usize = 5;

/// plans one service: what to start, drain and remove now
///
/// [`State::see`] has to be called with the same view before. The same view and
/// state give the same plan.
#[must_use]
pub fn plan(view: &View<'_>, capacity: &Capacity, state: &State, now: Instant) -> Vec<Action> {
    if capacity.hold || view.places.is_empty() {
        return Vec::new();
    }
    let stock = Stock::take(view, state, now);
    let have = stock.by_place(view.places.len());
    let most = most(view, capacity, state, &stock);
    let need = Need::new(&state.peak(), capacity, most);
    let closed: Vec<bool> = view
        .places
        .iter()
        .map(|place| state.is_waiting(place, now))
        .collect();
    let mix = Search::new(view.places, &have, &closed, &need).best();
    let mut actions = starts(view, capacity, &stock, &have, &mix);
    if view.store == Store::Reachable {
        let room = drain_room(&stock, &mix, most, state.may_shrink(now));
        actions.extend(drains(view, &stock, &have, &mix, room));
        actions.extend(removals(view, state, now));
    }
    actions
}

/// most VMs that may serve; while the store is out, only what is lost is replaced
fn most(view: &View<'_>, capacity: &Capacity, state: &State, stock: &Stock<'_>) -> u32 {
    let most = capacity.ceiling.saturating_sub(stock.going);
    match view.store {
        Store::Reachable => most,
        Store::Out => most.min(state.count_before_outage().max(capacity.floor)),
    }
}

fn starts(
    view: &View<'_>,
    capacity: &Capacity,
    stock: &Stock<'_>,
    have: &[u32],
    mix: &Mix,
) -> Vec<Action> {
    let running = u32::try_from(stock.units.len()).unwrap_or(u32::MAX);
    let taken = running.saturating_add(stock.going);
    let mut room = capacity.ceiling.saturating_sub(taken);
    if view.store == Store::Out {
        // a move would run more than before the outage
        room = room.min(mix.total.saturating_sub(running));
    }
    let mut names = stock.free_names(view.service, capacity.ceiling).into_iter();
    let mut actions = Vec::new();
    for (place, what) in view.places.iter().enumerate() {
        for _ in have[place]..mix.counts[place] {
            if room == 0 {
                return actions;
            }
            let Some(name) = names.next() else {
                return actions;
            };
            room -= 1;
            actions.push(Action::Start(Start {
                name,
                place: what.clone(),
            }));
        }
    }
    actions
}

/// how many VMs may be drained now
fn drain_room(stock: &Stock<'_>, mix: &Mix, most: u32, may_shrink: bool) -> usize {
    let above_ceiling = stock.units.len().saturating_sub(most as usize);
    if !may_shrink {
        return above_ceiling;
    }
    // what replaces a VM has to be live before that one goes
    let unneeded = stock.live().saturating_sub(mix.total as usize);
    let at_once = (stock.units.len() / DRAIN_SHARE).max(1);
    unneeded.min(at_once).max(above_ceiling)
}

fn drains(view: &View<'_>, stock: &Stock<'_>, have: &[u32], mix: &Mix, room: usize) -> Vec<Action> {
    let mut strays: Vec<Action> = Vec::new();
    if room > 0 {
        strays.extend(
            stock
                .strays
                .iter()
                .map(|name| Action::Drain((*name).to_owned())),
        );
    }
    let in_flight = stock::in_flight(view);
    let mut units: Vec<&Unit<'_>> = stock.units.iter().filter(|unit| unit.own).collect();
    units.sort_by_key(|unit| {
        let busy = in_flight.get(unit.name).copied().unwrap_or(u32::MAX);
        let slot = stock::slot(view.service, unit.name).unwrap_or_default();
        (unit.live, busy, std::cmp::Reverse(slot))
    });
    let mut surplus: Vec<u32> = have
        .iter()
        .zip(&mix.counts)
        .map(|(have, want)| have.saturating_sub(*want))
        .collect();
    let mut chosen = Vec::new();
    for unit in units {
        if chosen.len() == room {
            break;
        }
        if surplus[unit.place] > 0 {
            surplus[unit.place] -= 1;
            chosen.push(Action::Drain(unit.name.to_owned()));
        }
    }
    strays.extend(chosen);
    strays
}

/// drained VMs that have nothing left to do
fn removals(view: &View<'_>, state: &State, now: Instant) -> Vec<Action> {
    let in_flight = stock::in_flight(view);
    let mut actions = Vec::new();
    for (name, since) in state.drains() {
        let listed = view.vms.iter().any(|vm| vm.name == *name);
        let idle = in_flight.get(name.as_str()) == Some(&0);
        let settled = now.saturating_duration_since(*since) >= DRAIN_SETTLE;
        if listed && idle && settled && stock::is_own(view.service, name) {
            actions.push(Action::Remove(name.clone()));
        }
    }
    actions
}
