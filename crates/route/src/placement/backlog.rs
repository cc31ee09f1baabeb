use super::request::Distance;

/// number of network distances
const DISTANCES: usize = 3;

/// prompt tokens that wait at a VM on average, by network distance
pub(super) type Means = [u64; DISTANCES];

/// index of a distance in [`Means`]
fn index(distance: Distance) -> usize {
    match distance {
        Distance::Zone => 0,
        Distance::Region => 1,
        Distance::Link => 2,
    }
}

/// averages over VMs, each with its distance and the tokens that wait there
pub(super) fn means(vms: impl Iterator<Item = (Distance, u64)>) -> Means {
    let mut sums = [(0, 0); DISTANCES];
    for (distance, waiting) in vms {
        let (tokens, vms) = &mut sums[index(distance)];
        *tokens += waiting;
        *vms += 1;
    }
    sums.map(|(tokens, vms): (u64, u64)| tokens / vms.max(1))
}
