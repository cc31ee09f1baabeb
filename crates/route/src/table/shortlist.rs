//! Candidates for the choice by estimated time.

use std::sync::Arc;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::Ask;
use super::node::Node;

/// prefixes whose homes are candidates, in blocks
const HOME_DEPTHS: [usize; 4] = [2, 8, 32, 128];

/// candidates that are believed to hold the longest prefix
const HOLDERS: usize = 2;

/// candidates drawn at random
const DRAWN: usize = 3;

/// a VM to compare
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// the VM
    pub node: &'a Arc<Node>,
    /// tokens of the longest prefix it is the home of
    pub home_tokens: u32,
}

/// a VM and how much of the prefix it is believed to hold
#[derive(Clone, Copy)]
struct Holder<'a> {
    node: &'a Arc<Node>,
    depth: usize,
}

/// returns holders, homes and random VMs
pub(super) fn candidates<'a>(
    nodes: &[&'a Arc<Node>],
    ask: &Ask<'_>,
    rng: &mut impl Rng,
) -> Vec<Candidate<'a>> {
    let mut list = Vec::with_capacity(HOLDERS + HOME_DEPTHS.len() + DRAWN + 1);
    add_homes(&mut list, nodes, ask);
    add_holders(&mut list, nodes, ask, rng);
    add_idlest(&mut list, nodes, rng);
    for node in nodes.choose_multiple(rng, DRAWN) {
        add(&mut list, node, 0);
    }
    list
}

/// adds the VM on which all daemons agree without a word, for each prefix
fn add_homes<'a>(list: &mut Vec<Candidate<'a>>, nodes: &[&'a Arc<Node>], ask: &Ask<'_>) {
    for depth in HOME_DEPTHS {
        let Some(block) = ask.blocks.get(depth - 1) else {
            return;
        };
        let home = nodes.iter().max_by_key(|node| mix(node.seed ^ block));
        if let Some(home) = home {
            add(list, home, ask.block_tokens(depth));
        }
    }
}

/// adds the VMs that are believed to hold the most
fn add_holders<'a>(
    list: &mut Vec<Candidate<'a>>,
    nodes: &[&'a Arc<Node>],
    ask: &Ask<'_>,
    rng: &mut impl Rng,
) {
    if ask.blocks.is_empty() {
        return;
    }
    let mut best: [Option<Holder<'a>>; HOLDERS] = [None; HOLDERS];
    let start = rng.random_range(0..nodes.len().max(1));
    let (head, tail) = nodes.split_at(start.min(nodes.len()));
    for node in tail.iter().chain(head) {
        let depth = node.live().belief.depth(ask.blocks);
        if depth > 0 {
            insert(&mut best, Holder { node, depth });
        }
    }
    for holder in best.into_iter().flatten() {
        add(list, holder.node, 0);
    }
}

/// adds a VM with the fewest own requests, if these say anything
///
/// With fewer than one request for each VM most have none, and the count of one daemon
/// of many says nothing about them.
fn add_idlest<'a>(list: &mut Vec<Candidate<'a>>, nodes: &[&'a Arc<Node>], rng: &mut impl Rng) {
    let counts: Vec<u32> = nodes
        .iter()
        .map(|node| node.live().backlog.in_flight())
        .collect();
    let all: u64 = counts.iter().map(|count| u64::from(*count)).sum();
    if all < nodes.len() as u64 {
        return;
    }
    let least = counts.iter().copied().min();
    let idle = (0..nodes.len()).filter(|place| Some(counts[*place]) == least);
    if let Some(place) = idle.choose(rng) {
        add(list, nodes[place], 0);
    }
}

/// keeps the deepest holders, deepest first
fn insert<'a>(best: &mut [Option<Holder<'a>>; HOLDERS], holder: Holder<'a>) {
    let mut moved = holder;
    for place in best {
        match place {
            None => {
                *place = Some(moved);
                return;
            }
            Some(known) if known.depth < moved.depth => {
                std::mem::swap(known, &mut moved);
            }
            Some(_) => (),
        }
    }
}

fn add<'a>(list: &mut Vec<Candidate<'a>>, node: &'a Arc<Node>, home_tokens: u32) {
    for known in list.iter_mut() {
        if Arc::ptr_eq(known.node, node) {
            known.home_tokens = known.home_tokens.max(home_tokens);
            return;
        }
    }
    list.push(Candidate { node, home_tokens });
}

/// scrambles a rendezvous score (the finalizer of SplitMix64)
fn mix(score: u64) -> u64 {
    let score = (score ^ (score >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let score = (score ^ (score >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    score ^ (score >> 31)
}
