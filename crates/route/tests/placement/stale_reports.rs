//! Many daemons whose load reports reach each other with a delay.
//!
//! Guards against a thundering herd: all daemons have the same stale report, so that all send
//! to the VM that it shows as the least loaded.

use std::collections::HashMap;
use std::time::Duration;

use route::placement::Load;
use tokio::time::Instant;

use super::{engines, request, sent};

/// lets many daemons with the same report of an age choose a VM; returns the choices by VM
fn choices_by_vm(
    loads: &HashMap<String, Load>,
    age: Duration,
    prompts: u64,
) -> HashMap<String, u32> {
    let reported_at = Instant::now();
    let mut used: HashMap<String, u32> = HashMap::new();
    for daemon in 0..prompts {
        let mut balancer = engines(18);
        balancer.set_peer_loads("peer", loads.clone(), reported_at);
        let parts = [(daemon, 1_000)];
        let pick = sent(balancer.choose(&request(&parts, &[]), reported_at + age));
        *used.entry(pick.id).or_default() += 1;
    }
    used
}

fn load(running: u32, prefill_tokens: u64) -> Load {
    Load {
        running,
        prefill_tokens,
        held: prefill_tokens,
    }
}

#[test]
fn daemons_with_the_same_report_do_not_all_choose_the_least_loaded_vm() {
    // the number of streams varies slightly over the VMs, as under usual load
    let loads: HashMap<String, Load> = (0..18)
        .map(|vm| (format!("vm-{vm}"), load(vm % 6, 0)))
        .collect();
    let used = choices_by_vm(&loads, Duration::from_millis(500), 180);
    let largest = used.values().max().copied().unwrap_or_default();
    assert!(
        largest <= 30,
        "one of 18 VMs got {largest} of 180: {used:?}"
    );
}

#[test]
fn a_vm_that_has_finished_its_prefill_since_the_report_is_chosen_again() {
    let loaded = load(1, 30_000);
    let loads: HashMap<String, Load> = (0..9).map(|vm| (format!("vm-{vm}"), loaded)).collect();
    let to_loaded = |age_ms| {
        let used = choices_by_vm(&loads, Duration::from_millis(age_ms), 180);
        let loaded = used.iter().filter(|(vm, _)| loads.contains_key(*vm));
        loaded.map(|(_, count)| count).sum::<u32>()
    };
    assert_eq!(to_loaded(0), 0, "VMs with prefill in progress are avoided");
    let later = to_loaded(700);
    assert!(
        later >= 50,
        "only {later} of 180 went to the half of the VMs that is idle again"
    );
}
