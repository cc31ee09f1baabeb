//! Turns the difference between what runs and what is wanted into actions.

use std::time::Duration;

use schema::config::Capacity;
use tokio::time::Instant;

use super::action::{Action, Start};
use super::mix::{Mix, Search};
use super::need::Need;
use super::shrink::Shrink;
use super::stock::{self, Stock};
use crate::state::State;
use crate::view::{Store, View};

/// time after which every daemon knows that a VM drains
const DRAIN_SETTLE: Duration = Duration::from_secs(10);

/// time after which a drained VM that nobody reports on has finished
const UNREPORTED: Duration = Duration::from_secs(900);

/// demand beyond the peak that what is left has to serve after a removal, percent
const SHRINK_HEADROOM: u32 = 10;

/// share of the VMs beyond which silence is taken for a partition, as a divisor
const BROKEN_SHARE: usize = 5;

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
    let closed: Vec<bool> = view
        .places
        .iter()
        .map(|place| state.is_waiting(place, now))
        .collect();
    let best = |need: &Need| Search::new(view.places, &have, &closed, need).best();
    let need = Need::new(&state.peak(), capacity, most);
    let mut mix = best(&need);
    if stock.live() > mix.total as usize {
        // what runs is kept until it is clearly too much
        mix = best(&need.with_headroom(SHRINK_HEADROOM, stock.running()));
    }
    let mut actions = starts(view, capacity, &stock, &have, &mix);
    if view.store == Store::Reachable {
        let shrink = Shrink {
            view,
            stock: &stock,
            mix: &mix,
            need: &need,
        };
        actions.extend(shrink.drains(most, state.may_shrink(now)));
        actions.extend(removals(view, state, now));
    }
    actions
}

/// most VMs that may serve; while the store is out, only what is lost is replaced
fn most(view: &View<'_>, capacity: &Capacity, state: &State, stock: &Stock<'_>) -> u32 {
    // VMs that go already take room, but none of those that stay has to go for them
    let room = capacity.ceiling.saturating_sub(stock.going);
    let most = room.max(stock.running().min(capacity.ceiling));
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
    let running = stock.running();
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

/// drained VMs that have nothing left to do, and VMs that are broken for good
fn removals(view: &View<'_>, state: &State, now: Instant) -> Vec<Action> {
    let in_flight = stock::in_flight(view);
    let mut actions = Vec::new();
    for (name, since) in state.drains() {
        let drained = now.saturating_duration_since(*since);
        let is_idle = match in_flight.get(name.as_str()) {
            Some(requests) => *requests == 0 && drained >= DRAIN_SETTLE,
            None => drained >= UNREPORTED,
        };
        let is_listed = view.vms.iter().any(|vm| vm.name == *name);
        if is_listed && is_idle && stock::is_own(view.service, name) {
            actions.push(Action::Remove(name.clone()));
        }
    }
    for name in broken(view, state, now) {
        if stock::is_own(view.service, name) && !state.drains().contains_key(name) {
            actions.push(Action::Remove(name.to_owned()));
        }
    }
    actions
}

/// VMs to give up; none if so many are silent that the network is the likelier cause
fn broken<'a>(view: &View<'_>, state: &'a State, now: Instant) -> Vec<&'a str> {
    let broken = state.beyond_repair(now);
    if broken.len() > (view.vms.len() / BROKEN_SHARE).max(1) {
        return Vec::new();
    }
    broken
}
