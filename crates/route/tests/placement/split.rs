//! Load pattern: a service moves to another version of its software, which may be bad, while VMs of
//! either version stop.

use std::collections::HashSet;
use std::time::Duration;

use route::placement::{Balancer, Choice, Distance, Member, Request, Split, Target, TimeLimit};
use route::rollout::Order;
use tokio::time::Instant;

use super::{SERVICE, engine};

/// requests of a test
const REQUESTS: u64 = 2000;

/// VMs of each version
const VMS: usize = 10;

fn member(version: &str, number: usize) -> Member {
    Member {
        version: version.to_owned(),
        ..engine(&format!("{version}-{number}"), Distance::Zone)
    }
}

fn balancer(versions: &[&str]) -> Balancer {
    let mut balancer = Balancer::new();
    let members = versions
        .iter()
        .flat_map(|version| (0..VMS).map(|number| member(version, number)));
    balancer.set_members(SERVICE, members.collect());
    balancer
}

/// a split that moves a share of the requests to one VM of `v2`
fn canary(share: f64) -> Split {
    Split {
        target: Some(Target {
            order: Order {
                id: 7,
                service: SERVICE.to_owned(),
                target: "v2".to_owned(),
                duration: Duration::from_secs(12),
            },
            share,
            vms: HashSet::from(["v2-3".to_owned()]),
        }),
        ..Split::default()
    }
}

fn request(draw: u64, version: Option<&str>) -> Request<'_> {
    Request {
        service: SERVICE,
        parts: &[],
        prompt_tokens: 1000,
        output_tokens: 10,
        time_limit: TimeLimit::total(Duration::from_secs(1)),
        draw: draw.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        avoid: &[],
        version,
    }
}

/// VMs that get the requests of a test
fn chosen(balancer: &Balancer, version: Option<&str>, now: Instant) -> Vec<String> {
    let ids =
        (0..REQUESTS).filter_map(|draw| match balancer.choose(&request(draw, version), now) {
            Choice::Send(pick) => Some(pick.id),
            Choice::Full(_) | Choice::NoVm => None,
        });
    ids.collect()
}

fn of_version<'a>(ids: &'a [String], version: &str) -> Vec<&'a String> {
    ids.iter().filter(|id| id.starts_with(version)).collect()
}

/// guards against a new version that gets requests in proportion to its VMs
#[test]
fn canary_gets_its_share_at_its_vms_only() {
    let mut balancer = balancer(&["v1", "v2"]);
    balancer.set_split(SERVICE, Some(canary(0.07)));
    let ids = chosen(&balancer, None, Instant::now());
    let new = of_version(&ids, "v2");
    assert_eq!(ids.len() as u64, REQUESTS);
    assert!((100..=180).contains(&new.len()), "{} requests", new.len());
    assert!(new.iter().all(|id| *id == "v2-3"));
}

/// guards against a stopped version that serves requests, streams that resume there included
#[test]
fn stopped_version_gets_no_requests() {
    let mut balancer = balancer(&["v1", "v2"]);
    let split = Split {
        stopped: vec!["v2".to_owned()],
        ..canary(0.5)
    };
    balancer.set_split(SERVICE, Some(split));
    let now = Instant::now();
    let ids = chosen(&balancer, None, now);
    assert_eq!(of_version(&ids, "v1").len() as u64, REQUESTS);
    assert!(chosen(&balancer, Some("v2"), now).is_empty());
    assert!(balancer.is_stopped(SERVICE, "v2-3"));
}

/// guards against a resumed stream that follows the share instead of its version
#[test]
fn resumed_stream_stays_at_its_version() {
    let mut balancer = balancer(&["v1", "v2"]);
    balancer.set_split(SERVICE, Some(canary(1.0)));
    let ids = chosen(&balancer, Some("v1"), Instant::now());
    assert_eq!(of_version(&ids, "v1").len() as u64, REQUESTS);
}

/// guards against a daemon that is left with VMs that refuse connections, and tries each of them
#[test]
fn version_whose_vms_refuse_connections_is_replaced() {
    let mut balancer = balancer(&["v1", "v2"]);
    balancer.set_split(SERVICE, Some(canary(0.0)));
    let now = Instant::now();
    assert_eq!(of_version(&chosen(&balancer, None, now), "v2").len(), 0);
    for number in 0..3 {
        balancer.record_unreachable(SERVICE, &format!("v1-{number}"), now);
    }
    let ids = chosen(&balancer, None, now);
    assert_eq!(of_version(&ids, "v2").len() as u64, REQUESTS);
    // one that responds shows that the version is not gone
    balancer.record_activity(SERVICE, "v1-9", now + Duration::from_millis(1));
    let ids = chosen(&balancer, None, now);
    assert_eq!(of_version(&ids, "v2").len(), 0);
}

/// guards against a version that gets requests before it is known whether a request to move to it exists,
/// and against callers that are refused while only such VMs are left
#[test]
fn held_version_is_used_only_if_there_is_no_other() {
    let held = Split {
        held: vec!["v2".to_owned()],
        ..Split::default()
    };
    let mut both = balancer(&["v1", "v2"]);
    both.set_split(SERVICE, Some(held.clone()));
    let now = Instant::now();
    let ids = chosen(&both, None, now);
    assert_eq!(of_version(&ids, "v1").len() as u64, REQUESTS);
    let mut only = balancer(&["v2"]);
    only.set_split(SERVICE, Some(held));
    assert_eq!(chosen(&only, None, now).len() as u64, REQUESTS);
}
