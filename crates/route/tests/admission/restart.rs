//! Load pattern: all daemons are lost and start again at once, without any report of a load.

use std::time::Duration;

use route::placement::{Balancer, Choice, Distance, Load, Member, Request, TimeLimit, Work};
use tokio::time::Instant;

use super::cluster::SERVICE;

const DAEMONS: usize = 74;
const VMS: usize = 90;
const TOKENS: u32 = 4000;

/// requests of 200 ms that a daemon accepts at once just after its start, with a limit of 500 ms
fn accepted(is_assuming: bool, is_reported: bool, requests: u64) -> usize {
    let now = Instant::now();
    let mut balancer = Balancer::new();
    let members = (0..VMS).map(|number| Member {
        id: format!("vm-{number}"),
        started_at_ms: 0,
        version: String::new(),
        distance: Distance::Zone,
        slots: 24,
        cache_tokens: Some(500_000),
        connections: 4000,
    });
    balancer.set_members(SERVICE, members.collect());
    balancer.set_daemons(DAEMONS);
    if is_assuming {
        balancer.assume_peers(now + Duration::from_secs(3));
    }
    if is_reported {
        let loads = [("vm-0".to_owned(), Load::default())];
        balancer.set_peer_loads("peer", loads.into(), now);
    }
    let accepted = (0..requests).filter(|number| {
        let parts = [(*number, TOKENS)];
        let request = Request {
            service: SERVICE,
            parts: &parts,
            prompt_tokens: TOKENS,
            output_tokens: 100,
            time_limit: TimeLimit::total(Duration::from_millis(300)),
            draw: *number,
            avoid: &[],
            version: None,
        };
        let Choice::Send(pick) = balancer.choose(&request, now) else {
            return false;
        };
        let work = Work {
            prefill_tokens: pick.uncached,
            held: pick.uncached + 100,
        };
        balancer.begin(&request, &pick.id, &work, now);
        true
    });
    accepted.count()
}

/// guards against daemons that each fill all VMs as if they were alone
#[test]
fn daemons_without_reports_do_not_flood_the_vms() {
    let alone = accepted(false, false, 90);
    let assuming = accepted(true, false, 90);
    assert_eq!(alone, 90);
    // all daemons together: no more than two requests of 4,000 tokens for each VM
    assert!(assuming * DAEMONS <= 2 * VMS * 3, "{assuming} of 90");
}

/// guards against daemons that refuse everything until the first report
#[test]
fn daemons_without_reports_accept_some_requests() {
    assert!(accepted(true, false, 90) >= 2);
}

#[test]
fn a_report_ends_the_assumption() {
    assert_eq!(accepted(true, true, 90), 90);
}
