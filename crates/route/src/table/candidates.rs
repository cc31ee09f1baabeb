//! Candidates for the choice by estimated time to the first token.

use std::sync::Arc;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::Request;
use super::endpoint::Endpoint;

/// prefix lengths, in blocks, whose preferred VMs are candidates
const PREFERRED_PREFIX_BLOCKS: [usize; 4] = [2, 8, 32, 128];

/// candidates estimated to cache the longest prefix
const MAX_HOLDERS: usize = 2;

/// candidates chosen at random
const RANDOM_CANDIDATES: usize = 3;

/// a VM to compare
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// the VM
    pub endpoint: &'a Arc<Endpoint>,
    /// tokens of the longest prefix of which rendezvous hashing makes it the preferred VM
    pub preferred_tokens: u32,
}

/// a VM and the leading blocks that it is estimated to cache
#[derive(Clone, Copy)]
struct Holder<'a> {
    endpoint: &'a Arc<Endpoint>,
    prefix_blocks: usize,
}

/// selects preferred VMs, holders, the least loaded VM and random ones
pub(super) fn select<'a>(
    endpoints: &[&'a Arc<Endpoint>],
    request: &Request<'_>,
    rng: &mut impl Rng,
) -> Vec<Candidate<'a>> {
    let mut list =
        Vec::with_capacity(MAX_HOLDERS + PREFERRED_PREFIX_BLOCKS.len() + RANDOM_CANDIDATES + 1);
    add_preferred(&mut list, endpoints, request);
    add_holders(&mut list, endpoints, request, rng);
    add_least_loaded(&mut list, endpoints, rng);
    for endpoint in endpoints.choose_multiple(rng, RANDOM_CANDIDATES) {
        add(&mut list, endpoint, 0);
    }
    list
}

/// adds the preferred VM of each prefix, on which all daemons agree without communication
fn add_preferred<'a>(
    list: &mut Vec<Candidate<'a>>,
    endpoints: &[&'a Arc<Endpoint>],
    request: &Request<'_>,
) {
    for length in PREFERRED_PREFIX_BLOCKS {
        let Some(block) = request.blocks.get(length - 1) else {
            return;
        };
        let preferred = endpoints
            .iter()
            .max_by_key(|endpoint| mix(endpoint.seed ^ block));
        if let Some(preferred) = preferred {
            add(list, preferred, request.block_tokens(length));
        }
    }
}

/// adds the VMs estimated to cache the longest prefix
fn add_holders<'a>(
    list: &mut Vec<Candidate<'a>>,
    endpoints: &[&'a Arc<Endpoint>],
    request: &Request<'_>,
    rng: &mut impl Rng,
) {
    if request.blocks.is_empty() {
        return;
    }
    let mut best: [Option<Holder<'a>>; MAX_HOLDERS] = [None; MAX_HOLDERS];
    let start = rng.random_range(0..endpoints.len().max(1));
    let (head, tail) = endpoints.split_at(start.min(endpoints.len()));
    for endpoint in tail.iter().chain(head) {
        let prefix_blocks = endpoint.lock().cache.prefix_blocks(request.blocks);
        if prefix_blocks > 0 {
            insert(
                &mut best,
                Holder {
                    endpoint,
                    prefix_blocks,
                },
            );
        }
    }
    for holder in best.into_iter().flatten() {
        add(list, holder.endpoint, 0);
    }
}

/// adds a VM with the fewest local requests in flight, if there is at least one per VM
///
/// With fewer, most VMs have none, and the requests of one daemon among many do not show
/// which VM is the least loaded.
fn add_least_loaded<'a>(
    list: &mut Vec<Candidate<'a>>,
    endpoints: &[&'a Arc<Endpoint>],
    rng: &mut impl Rng,
) {
    let counts: Vec<u32> = endpoints
        .iter()
        .map(|endpoint| endpoint.lock().backlog.in_flight())
        .collect();
    let total: u64 = counts.iter().map(|count| u64::from(*count)).sum();
    if total < endpoints.len() as u64 {
        return;
    }
    let least = counts.iter().copied().min();
    let idlest = (0..endpoints.len()).filter(|index| Some(counts[*index]) == least);
    if let Some(index) = idlest.choose(rng) {
        add(list, endpoints[index], 0);
    }
}

/// inserts a holder into the best ones, which are sorted by descending prefix length
fn insert<'a>(best: &mut [Option<Holder<'a>>; MAX_HOLDERS], holder: Holder<'a>) {
    let mut candidate = holder;
    for entry in best {
        match entry {
            None => {
                *entry = Some(candidate);
                return;
            }
            Some(kept) if kept.prefix_blocks < candidate.prefix_blocks => {
                std::mem::swap(kept, &mut candidate);
            }
            Some(_) => (),
        }
    }
}

fn add<'a>(list: &mut Vec<Candidate<'a>>, endpoint: &'a Arc<Endpoint>, preferred_tokens: u32) {
    for candidate in list.iter_mut() {
        if Arc::ptr_eq(candidate.endpoint, endpoint) {
            candidate.preferred_tokens = candidate.preferred_tokens.max(preferred_tokens);
            return;
        }
    }
    list.push(Candidate {
        endpoint,
        preferred_tokens,
    });
}

/// mixes the bits of a rendezvous score (the finalizer of SplitMix64)
fn mix(score: u64) -> u64 {
    let score = (score ^ (score >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let score = (score ^ (score >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    score ^ (score >> 31)
}
