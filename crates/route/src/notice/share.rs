use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// requests per second below which the part of a daemon is not divided further: one that sends less
/// often learns too late that the limit has changed
const MIN_SHARE: f64 = 1.0;

/// smallest limit that is kept, requests per second: without any request nobody would learn that the
/// VM accepts more again
const MIN_LIMIT: f64 = 0.1;

/// a daemon that may send requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Daemon<'a> {
    /// its name
    pub name: &'a str,
    /// its zone
    pub zone: &'a str,
}

/// a VM that states a limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limited<'a> {
    /// its instance id
    pub id: &'a str,
    /// its zone
    pub zone: &'a str,
    /// requests per second that it accepts
    pub limit: f64,
    /// part of them that the daemons may send; see [`Reach`](super::Reach)
    pub part: f64,
}

/// requests per second that a daemon may send to a VM with a limit; 0 if it may send none
///
/// Load pattern: a VM in need accepts a few requests a second from hundreds of daemons, of which most
/// would not be left a whole request. So only some of the daemons in its zone may send to it, in the
/// order of rendezvous hashing, each with an equal part. All daemons derive the same ones from the
/// membership without a message.
pub fn share(vm: &Limited<'_>, me: &str, daemons: &[Daemon<'_>]) -> f64 {
    let is_near = |daemon: &&Daemon<'_>| daemon.zone == vm.zone;
    let near: Vec<&Daemon<'_>> = daemons.iter().filter(is_near).collect();
    let candidates = if near.is_empty() {
        daemons.iter().collect()
    } else {
        near
    };
    let limit = vm.limit.max(MIN_LIMIT) * vm.part;
    let senders = ((limit / MIN_SHARE) as usize).clamp(1, candidates.len().max(1));
    let seed = xxh3_64(vm.id.as_bytes());
    let own = weight(me, seed);
    let before = candidates
        .iter()
        .filter(|daemon| weight(daemon.name, seed) > own);
    let is_candidate = candidates.iter().any(|daemon| daemon.name == me);
    if is_candidate && before.count() < senders {
        limit / senders as f64
    } else {
        0.0
    }
}

/// weight of a daemon for a VM; names differ, so that no two are equal
fn weight(name: &str, seed: u64) -> (u64, &str) {
    (xxh3_64_with_seed(name.as_bytes(), seed), name)
}
