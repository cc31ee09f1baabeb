//! Text output of `status` and `drain`.

use schema::operator::{Drained, MemberState, Status, VmState};

use super::capacity;
use super::render::Render;
use super::table::Table;

impl Render for Status {
    fn to_text(&self) -> String {
        let mut sections = vec![headline(self)];
        let tables = [
            members(self),
            duties(self),
            capacity::table(self),
            upstreams(self),
        ];
        for table in tables {
            if !table.is_empty() {
                sections.push(table.to_text());
            }
        }
        sections.join("\n\n")
    }
}

impl Render for Drained {
    fn to_text(&self) -> String {
        format!(
            "{} receives no new requests; {} requests are still in flight",
            self.vm, self.in_flight
        )
    }
}

/// revision, preset, daemons on an older revision and VMs that are leaving
fn headline(status: &Status) -> String {
    let highest = status.members.iter().map(|member| member.revision).max();
    let highest = highest.unwrap_or_default().max(status.revision);
    let live = status
        .members
        .iter()
        .filter(|member| member.state == MemberState::Live);
    let behind = live.filter(|member| member.revision < highest).count();
    let mut text = format!(
        "as seen by {}: revision {}, preset {}",
        status.daemon,
        status.revision,
        if status.preset.is_empty() {
            "none"
        } else {
            &status.preset
        }
    );
    if behind > 0 {
        text.push_str(&format!(
            "; {behind} live daemons are behind revision {highest}"
        ));
    }
    let leaving = status
        .upstreams
        .iter()
        .filter(|vm| vm.state == VmState::Leaving)
        .count();
    if leaving > 0 {
        text.push_str(&format!("; {leaving} VMs are leaving"));
    }
    text
}

fn members(status: &Status) -> Table {
    let mut table = Table::new(&["DAEMON", "DATA CENTRE", "REGION", "STATE", "REVISION"]);
    for member in &status.members {
        table.add_row(&[
            &member.vm,
            &member.data_centre,
            &member.region,
            &member.state.to_string(),
            &member.revision.to_string(),
        ]);
    }
    table
}

fn duties(status: &Status) -> Table {
    let mut table = Table::new(&["DUTY", "HOLDER"]);
    for duty in &status.duties {
        table.add_row(&[&duty.name, &duty.holder]);
    }
    table
}

fn upstreams(status: &Status) -> Table {
    let mut table = Table::new(&["VM", "UPSTREAM", "ADDRESS", "STATE", "IN FLIGHT", "LOAD"]);
    for vm in &status.upstreams {
        let load = u32::from(vm.level) * 100 / u32::from(u8::MAX);
        table.add_row(&[
            &vm.vm,
            &vm.upstream,
            &vm.address,
            &vm.state.to_string(),
            &vm.in_flight.to_string(),
            &format!("{load}%"),
        ]);
    }
    table
}
