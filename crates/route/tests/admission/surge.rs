//! Load pattern: one workspace sends 5.7 times its usual traffic, and two thirds of the VMs are lost.

use std::time::Duration;

use route::placement::Kind;

use super::cluster::Cluster;
use super::setup::{Count, Counts, Setup, Source, sum};

const CHAT: Kind = Kind {
    priority: 0,
    objective: Duration::from_millis(500),
};
const BATCH: Kind = Kind {
    priority: 2,
    objective: Duration::from_millis(2500),
};

/// when the surge begins
const SURGE_MS: u64 = 4000;

/// when the VMs have been lost
const SHORT_MS: u64 = 6000;

/// index of the source that surges
const SURGING: usize = 0;

fn usual(_: u64, _: usize) -> f64 {
    4.0
}

fn surging(ms: u64, _: usize) -> f64 {
    if ms < SURGE_MS { 8.0 } else { 8.0 * 5.7 }
}

fn source(workspace: &'static str, kind: Kind, per_second: fn(u64, usize) -> f64) -> Source {
    Source {
        workspace,
        kind,
        timeout_ms: 5000,
        tokens: 4000,
        per_second,
    }
}

fn replay(extra_age_ms: u64, dead: Option<(u64, usize)>, seed: u64) -> Counts {
    let sources = vec![
        source("large", CHAT, surging),
        source("a", CHAT, usual),
        source("a", BATCH, usual),
        source("b", BATCH, usual),
        source("c", CHAT, usual),
    ];
    let setup = Setup {
        vms: vec![5; 6],
        daemons_per_zone: 4,
        slots: 24,
        tokens_per_ms: 61.8,
        decode_ms: 600.0,
        sources,
        losses: (0..6).map(|zone| (SHORT_MS, zone, 3 + zone % 2)).collect(),
        extra_age_ms,
        dead,
        duration_ms: 24_000,
        seed,
    };
    Cluster::new(setup).run()
}

const SOURCES: usize = 5;

const SEEDS: u64 = 3;

fn in_time(count: &Count) -> f64 {
    f64::from(count.in_time) / f64::from(count.callers)
}

fn served(count: &Count) -> f64 {
    f64::from(count.in_time + count.late) / f64::from(count.callers)
}

/// what became of the callers of the workspaces that do not surge
fn others(counts: &Counts) -> Count {
    sum(counts, |source, _| source != SURGING)
}

/// guards against a surge that takes the capacity of the other workspaces
#[test]
fn a_surge_takes_little_from_the_other_workspaces() {
    for seed in 0..SEEDS {
        let counts = replay(0, None, seed);
        let (others, surging) = (others(&counts), sum(&counts, |of, _| of == SURGING));
        // 0.27 without shares
        assert!(in_time(&others) > 0.4, "seed {seed}: {others:?}");
        assert!(
            in_time(&others) > 2.0 * in_time(&surging),
            "seed {seed}: {others:?}, surging: {surging:?}"
        );
    }
}

/// guards against kinds or workspaces that get nothing while others are served
#[test]
fn no_kind_and_no_workspace_starves() {
    for seed in 0..SEEDS {
        let counts = replay(0, None, seed);
        let all = served(&sum(&counts, |_, _| true));
        for source in 0..SOURCES {
            let count = sum(&counts, |of, _| of == source);
            let served = served(&count);
            assert!(
                served > all / 4.0,
                "seed {seed}, source {source}: {count:?}"
            );
        }
    }
}

/// guards against shares from old reports that refuse what VMs could serve
#[test]
fn reports_that_are_4_s_late_do_no_harm() {
    for seed in 0..SEEDS {
        let counts = replay(4000, None, seed);
        let all = sum(&counts, |_, _| true);
        // 0.176 without shares
        assert!(in_time(&all) > 0.17, "seed {seed}: {all:?}");
        assert!(served(&all) > 0.35, "seed {seed}: {all:?}");
    }
}

/// guards against capacity that stays lent to the callers of daemons that are gone
#[test]
fn the_death_of_a_zones_daemons_changes_no_shares() {
    for seed in 0..SEEDS {
        let counts = replay(0, Some((10_000, 2)), seed);
        let others = others(&counts);
        assert!(in_time(&others) > 0.4, "seed {seed}: {others:?}");
    }
}
