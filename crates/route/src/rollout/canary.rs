use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::order::Order;

/// VMs of the new version in a zone that get requests while the new version has this share of them
///
/// Load pattern: a fault that shows only under load. Each of the VMs carries at least the load of a VM of
/// the old version, or the load that it has once all requests are moved if there are fewer VMs
/// of the new version. A zone has at least one, so that with few VMs and a small share their load is
/// less. All daemons select the same ones, and those of a larger share contain those of a smaller one.
pub fn canaries<'a>(order: &Order, vms: &[&'a str], old_vms: usize, share: f64) -> Vec<&'a str> {
    let share = share.clamp(0.0, 1.0);
    if share == 0.0 {
        return Vec::new();
    }
    let with_full_load = share * vms.len() as f64;
    let with_old_load = share / (1.0 - share) * old_vms as f64;
    let count = if share == 1.0 || old_vms == 0 {
        vms.len()
    } else {
        (with_full_load.min(with_old_load).floor() as usize).max(1)
    };
    let mut ordered = vms.to_vec();
    ordered.sort_by_key(|id| Reverse((xxh3_64_with_seed(id.as_bytes(), order.id), *id)));
    ordered.truncate(count);
    ordered
}

/// whether a request goes to the new version at this share
///
/// The id is that of the request, not of its attempt, so that retries stay at one version. A request
/// that goes to the new version at a share does so at each larger one.
pub fn is_target(order: &Order, request_id: &str, share: f64) -> bool {
    let draw = xxh3_64_with_seed(request_id.as_bytes(), !order.id);
    // 53 bits, as many as a float has
    ((draw >> 11) as f64) < share * (1u64 << 53) as f64
}
