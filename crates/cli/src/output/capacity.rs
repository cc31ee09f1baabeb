//! VM counts and load of each service, aggregated from a status.

use std::collections::BTreeMap;

use schema::operator::{Status, VmState};

use super::table::Table;

/// VM counts, requests and summed load levels of one service
#[derive(Debug, Default)]
struct Totals {
    live: u32,
    leaving: u32,
    broken: u32,
    in_flight: u64,
    level_sum: u64,
}

/// table with one row per service
pub(super) fn table(status: &Status) -> Table {
    let mut services: BTreeMap<&str, Totals> = BTreeMap::new();
    for vm in &status.upstreams {
        let totals = services.entry(vm.service.as_str()).or_default();
        match vm.state {
            VmState::Live => totals.live += 1,
            VmState::Leaving => totals.leaving += 1,
            VmState::Broken => totals.broken += 1,
        }
        totals.in_flight += u64::from(vm.in_flight);
        totals.level_sum += u64::from(vm.level);
    }
    let mut table = Table::new(&["SERVICE", "LIVE", "LEAVING", "BROKEN", "IN FLIGHT", "LOAD"]);
    for (service, totals) in &services {
        let vms = u64::from(totals.live + totals.leaving + totals.broken);
        let load = totals.level_sum * 100 / (vms * u64::from(u8::MAX));
        table.add_row(&[
            service,
            &totals.live.to_string(),
            &totals.leaving.to_string(),
            &totals.broken.to_string(),
            &totals.in_flight.to_string(),
            &format!("{load}%"),
        ]);
    }
    table
}
