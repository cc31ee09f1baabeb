//! Status of the fleet as one daemon sees it.

use std::collections::HashMap;

use entry::Context;
use peer::State;
use route::retry::Phase;
use route::table::Row;
use schema::operator::{Duty, Member, MemberState, Status, Vm, VmState};
use tokio::time::Instant;

use super::Components;
use crate::{capacity, config, vms};

/// result of `operator_status`
pub fn status(components: &Components) -> Status {
    let context = &components.context;
    let snapshot = context.snapshot.load();
    let rows = context.vms.snapshot(Instant::now());
    Status {
        daemon: context.node.me().vm.clone(),
        revision: snapshot.revision,
        preset: snapshot.declaration.preset.clone(),
        members: members(context, snapshot.revision),
        upstreams: rows.iter().map(vm).collect(),
        duties: duties(components),
    }
}

fn members(context: &Context, local_revision: u64) -> Vec<Member> {
    let applied = context.node.applied_revisions();
    let applied: HashMap<u64, u64> = applied
        .iter()
        .map(|applied| (applied.member.instance, applied.revision))
        .collect();
    let me = context.node.me().instance;
    let members = context.node.members();
    let mut all: Vec<Member> = members
        .iter()
        .map(|member| Member {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
            state: state(member.state),
            revision: match member.instance == me {
                true => local_revision,
                false => applied.get(&member.instance).copied().unwrap_or(0),
            },
        })
        .collect();
    all.sort_by(|one, other| one.vm.cmp(&other.vm));
    all
}

fn state(state: State) -> MemberState {
    match state {
        State::Live => MemberState::Live,
        State::Suspect => MemberState::Suspect,
        State::Leaving => MemberState::Leaving,
        State::Gone => MemberState::Dead,
    }
}

fn vm(row: &Row) -> Vm {
    let state = match (row.draining, row.breaker) {
        (true, _) => VmState::Leaving,
        (false, Phase::Closed) => VmState::Live,
        (false, Phase::Open | Phase::HalfOpen) => VmState::Broken,
    };
    Vm {
        vm: row.vm.name.clone(),
        upstream: row.vm.upstream.clone(),
        service: row.vm.service.clone(),
        address: row.vm.address.clone(),
        state,
        in_flight: row.in_flight,
        level: route::level::encode(row.queue),
    }
}

fn duties(components: &Components) -> Vec<Duty> {
    let named = [(config::DUTY, config::FOLLOWERS), (vms::DUTY, 1)];
    let mut duties = Vec::new();
    for (name, count) in named {
        for holder in components.context.node.duty_holders(name, count) {
            duties.push(Duty {
                name: name.to_owned(),
                holder: holder.vm,
            });
        }
    }
    if components.leadership.is_holder(Instant::now()) {
        duties.push(Duty {
            name: capacity::DUTY.to_owned(),
            holder: components.context.node.me().vm.clone(),
        });
    }
    duties
}
