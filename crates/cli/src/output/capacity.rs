//! VMs of each service, counted from a status.

use std::collections::BTreeMap;

use schema::operator::{Status, VmState};

use super::table::Table;

/// VMs and requests of one service
#[derive(Debug, Default)]
struct Count {
    live: u32,
    leaving: u32,
    broken: u32,
    in_flight: u64,
    level: u64,
}

/// a table with a row for each service
pub(super) fn table(status: &Status) -> Table {
    let mut counts: BTreeMap<&str, Count> = BTreeMap::new();
    for vm in &status.upstreams {
        let count = counts.entry(vm.service.as_str()).or_default();
        match vm.state {
            VmState::Live => count.live += 1,
            VmState::Leaving => count.leaving += 1,
            VmState::Broken => count.broken += 1,
        }
        count.in_flight += u64::from(vm.in_flight);
        count.level += u64::from(vm.level);
    }
    let mut table = Table::new(&["SERVICE", "LIVE", "LEAVING", "BROKEN", "IN FLIGHT", "LOAD"]);
    for (service, count) in &counts {
        let vms = u64::from(count.live + count.leaving + count.broken);
        let load = count.level * 100 / (vms * u64::from(u8::MAX));
        table.row(&[
            service,
            &count.live.to_string(),
            &count.leaving.to_string(),
            &count.broken.to_string(),
            &count.in_flight.to_string(),
            &format!("{load}%"),
        ]);
    }
    table
}
