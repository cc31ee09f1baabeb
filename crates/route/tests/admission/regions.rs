//! Load pattern: one region has lost two thirds of its VMs, the other one has room.

use std::time::Duration;

use route::placement::{Balancer, Choice, Distance, Kind, Load, Member, Request, TimeLimit, Work};
use tokio::time::Instant;

use super::cluster::{Cluster, SERVICE};
use super::setup::{Count, Setup, Source, sum};

/// largest share of late responses: the objective is 3.4 times the time on an idle VM
const MAX_LATE: f64 = 0.05;

/// what becomes of callers in the region that lost VMs, whose demand is four fifths of what its
/// remaining VMs can prefill, and in the other one
fn replay(seed: u64) -> (Count, Count) {
    let chat = Source {
        workspace: "w",
        kind: Kind {
            priority: 0,
            objective: Duration::from_millis(400),
        },
        timeout_ms: 4000,
        tokens: 8000,
        per_second: |_, _| 24.0,
    };
    let setup = Setup {
        vms: vec![6; 6],
        daemons_per_zone: 8,
        slots: 24,
        tokens_per_ms: 120.0,
        decode_ms: 400.0,
        sources: vec![chat],
        losses: vec![(4000, 0, 6), (4000, 1, 6)],
        extra_age_ms: 0,
        dead: None,
        duration_ms: 16_000,
        seed,
    };
    let counts = Cluster::new(setup).run();
    (
        sum(&counts, |_, zone| zone < 3),
        sum(&counts, |_, zone| zone >= 3),
    )
}

/// guards against daemons that all use the same few VMs until the next report shows how full they are
#[test]
fn a_region_that_lost_vms_uses_those_of_the_other_one() {
    for seed in 0..3 {
        let (short, other) = replay(seed);
        for count in [short, other] {
            let late = f64::from(count.late + count.refused) / f64::from(count.callers);
            assert!(late < MAX_LATE, "seed {seed}: {short:?}, {other:?}");
        }
    }
}

fn engine(id: &str, distance: Distance) -> Member {
    Member {
        id: id.to_owned(),
        started_at_ms: 0,
        version: String::new(),
        distance,
        slots: 24,
        cache_tokens: Some(500_000),
        connections: 400,
        transfer: None,
    }
}

/// guards against a refusal while a VM that costs more, by its distance, would respond in time
#[test]
fn a_vm_across_the_link_that_is_in_time_is_used_before_a_request_is_refused() {
    let now = Instant::now();
    let mut balancer = Balancer::new();
    let members = vec![
        engine("near", Distance::Zone),
        engine("far", Distance::Link),
    ];
    balancer.set_members(SERVICE, members);
    let parts = [(1, 1000)];
    let request = Request {
        service: SERVICE,
        parts: &parts,
        prompt_tokens: 1000,
        output_tokens: 100,
        time_limit: TimeLimit::total(Duration::from_millis(300)),
        draw: 1,
        avoid: &[],
        version: None,
    };
    // the near VM is over the limit by less than the price of the link
    let loads = [("near", 11_500), ("far", 10_500)].map(|(id, prefill_tokens)| {
        let load = Load {
            running: 1,
            prefill_tokens,
            held: 0,
        };
        (id.to_owned(), load)
    });
    balancer.set_peer_loads("peer", loads.into(), now);
    let Choice::Send(pick) = balancer.choose(&request, now) else {
        panic!("the request was refused");
    };
    assert_eq!(pick.id, "far");
    let work = Work {
        prefill_tokens: 1000,
        held: 1100,
    };
    balancer.begin(&request, "far", &work, now);
    let uncached = Request {
        parts: &[(2, 1000)],
        ..request
    };
    let choice = balancer.choose(&uncached, now);
    assert!(matches!(choice, Choice::Full(_)), "both are over the limit");
}
