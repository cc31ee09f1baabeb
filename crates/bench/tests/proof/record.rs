//! The stand-ins' records: what really ran.

use std::collections::BTreeMap;

use bench::world::World;
use standin::plain::Execution;

/// every call that the plain services ran
pub fn executions(world: &World) -> Vec<Execution> {
    let records = world.plain_services().iter().map(|plain| plain.record());
    records
        .flat_map(|record| record.expect("a record"))
        .collect()
}

/// how often a path ran
pub fn runs_of(world: &World, path: &str) -> usize {
    let all = executions(world);
    all.iter().filter(|call| call.path == path).count()
}

/// idempotency keys that ran more than once
pub fn keys_run_twice(world: &World) -> Vec<String> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for call in executions(world) {
        if !call.key.is_empty() && call.method == "POST" {
            *counts.entry(call.key).or_default() += 1;
        }
    }
    counts.retain(|_, count| *count > 1);
    counts.into_keys().collect()
}
