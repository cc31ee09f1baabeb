//! The table of upstream VMs.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::Reason;
use route::retry::{Kind, Phase};
use route::table::{Outcome, Table};
use schema::engine::{Event, Events};
use schema::settings::Policy;
use support::{load, request, table, usage, vm};
use tokio::time::{Instant, advance};

const POLICIES: [Policy; 3] = [Policy::Affinity, Policy::Least, Policy::Turns];

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn stored(blocks: &[u64], gap: bool) -> Events {
    let event = Event {
        stored: blocks.to_vec(),
        removed: Vec::new(),
    };
    Events {
        next: 1,
        gap,
        events: vec![event],
    }
}

/// number of picks out of 100 that choose a VM; each request ends before the next pick
fn count_picks(table: &Table, name: &str, blocks: &[u64], now: Instant) -> usize {
    let mut rng = rng();
    let mut count = 0;
    for _ in 0..100 {
        let Ok(pick) = table.pick(&request(blocks, &[], now), &mut rng, now) else {
            continue;
        };
        count += usize::from(pick.vm == name);
        table.finish(pick.permit, Outcome::Cancelled, now);
    }
    count
}

#[test]
fn draining_vm_gets_no_requests_while_it_is_listed() {
    let now = Instant::now();
    let vms = [vm("one", "a", "r"), vm("two", "a", "r")];
    for policy in POLICIES {
        let table = table(policy, &vms);
        table.start_drain("one", now);
        table.set_vms(&vms);
        table.apply_report("one", &load(0, 0, 0), now);
        assert_eq!(count_picks(&table, "one", &[], now), 0, "{policy}");
        assert_eq!(table.addresses("model"), ["two:80"]);
    }
}

#[test]
fn load_report_before_the_end_of_the_notice_does_not_end_the_drain() {
    let now = Instant::now();
    let minutes = |count: u64| now + Duration::from_secs(60 * count);
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    table.start_drain("one", now);
    table.start_drain("one", minutes(60));
    table.apply_report("one", &load(0, 0, 0), minutes(30));
    assert!(table.is_draining("one"));
    table.apply_report("one", &load(0, 0, 0), minutes(70));
    assert!(!table.is_draining("one"));
}

#[test]
fn drain_before_the_vm_is_listed_applies_once_it_is() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[]);
    table.start_drain("one", now);
    table.set_vms(&[vm("one", "a", "r")]);
    let refusal = table.pick(&request(&[], &[], now), &mut rng(), now);
    assert_eq!(
        refusal
            .map(|pick| pick.vm)
            .map_err(|refusal| refusal.reason),
        Err(Reason::NoUpstream)
    );
}

#[test]
fn load_report_shortly_after_a_repeated_notice_does_not_end_the_drain() {
    let now = Instant::now();
    let at = |seconds| now + Duration::from_secs(seconds);
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    table.start_drain("one", now);
    table.start_drain("one", at(60));
    table.apply_report("one", &load(0, 0, 0), at(150));
    assert!(table.is_draining("one"));
    table.apply_report("one", &load(0, 0, 0), at(200));
    assert!(!table.is_draining("one"));
}

#[test]
fn vm_that_refuses_a_request_as_draining_gets_no_more_requests() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    if let Ok(pick) = table.pick(&request(&[], &[], now), &mut rng(), now) {
        table.finish(pick.permit, Outcome::Failed(Kind::Draining), now);
    }
    assert!(table.is_draining("one"));
    assert_eq!(count_picks(&table, "one", &[], now), 0);
}

#[test]
fn workers_and_updates_do_not_block_each_other() {
    let now = Instant::now();
    let vms: Vec<_> = (0..8)
        .map(|index| vm(&format!("vm-{index}"), "a", "r"))
        .collect();
    let table = table(Policy::Affinity, &vms);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| count_picks(&table, "vm-0", &[1, 2, 3], now));
        }
        scope.spawn(|| {
            for _ in 0..100 {
                table.set_vms(&vms);
                table.apply_report("vm-1", &load(3, 0, 0), now);
                table.configure(&support::declaration(Vec::new()));
                table.snapshot(now);
            }
        });
    });
    let rows = table.snapshot(now);
    assert!(rows.iter().all(|row| row.in_flight == 0));
}

#[test]
fn listed_name_with_a_new_address_is_not_draining() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    table.start_drain("one", now);
    let mut replacement = vm("one", "a", "r");
    replacement.address = "other:80".to_owned();
    table.set_vms(&[replacement]);
    assert_eq!(count_picks(&table, "one", &[], now), 100);
}

#[test]
fn unlisted_vm_gets_no_requests() {
    let now = Instant::now();
    let table = table(
        Policy::Affinity,
        &[vm("one", "a", "r"), vm("two", "a", "r")],
    );
    table.set_vms(&[vm("two", "a", "r")]);
    assert_eq!(count_picks(&table, "one", &[], now), 0);
}

#[test]
fn unknown_service_is_refused_without_retry_after() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[]);
    let mut request = request(&[], &[], now);
    request.service = "other";
    let refusal = table.pick(&request, &mut rng(), now).map(|pick| pick.vm);
    assert_eq!(
        refusal.map_err(|refusal| (refusal.reason, refusal.retry_after)),
        Err((Reason::UnknownService, None))
    );
}

#[test]
fn failed_vm_is_avoided_unless_it_is_the_only_one() {
    let now = Instant::now();
    let avoid = ["one".to_owned()];
    let both = table(
        Policy::Affinity,
        &[vm("one", "a", "r"), vm("two", "a", "r")],
    );
    for _ in 0..50 {
        let pick = both.pick(&request(&[], &avoid, now), &mut rng(), now);
        assert_eq!(pick.map(|pick| pick.vm).ok().as_deref(), Some("two"));
    }
    let single = table(Policy::Affinity, &[vm("one", "a", "r")]);
    assert!(
        single
            .pick(&request(&[], &avoid, now), &mut rng(), now)
            .is_ok()
    );
}

#[test]
fn vm_with_the_cached_prefix_is_chosen_until_it_is_busy() {
    let now = Instant::now();
    let blocks: Vec<u64> = (1..=6).collect();
    let vms: Vec<_> = (0..10)
        .map(|index| vm(&format!("vm-{index}"), "a", "r"))
        .collect();
    let table = table(Policy::Affinity, &vms);
    table.apply_cache_events("vm-3", &stored(&blocks, false));
    assert!(count_picks(&table, "vm-3", &blocks, now) >= 90);
    table.apply_report("vm-3", &load(16, 10, 5000), now);
    assert_eq!(count_picks(&table, "vm-3", &blocks, now), 0);
}

#[test]
fn cache_estimate_follows_the_cached_tokens_that_the_engine_reports() {
    let now = Instant::now();
    let blocks: Vec<u64> = (1..=6).collect();
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    table.apply_cache_events("one", &stored(&blocks, false));
    let mut estimates = Vec::new();
    for _ in 0..20 {
        let Ok(pick) = table.pick(&request(&blocks, &[], now), &mut rng(), now) else {
            continue;
        };
        estimates.push(pick.estimate);
        let outcome = Outcome::Done { usage: usage(0) };
        table.finish(pick.permit, outcome, now);
    }
    let (first, last) = (estimates[0], estimates[19]);
    assert!(
        last > first + Duration::from_millis(10),
        "first estimate {first:?}, last estimate {last:?}"
    );
}

#[test]
fn farther_vms_are_chosen_when_the_wait_exceeds_their_penalty() {
    let now = Instant::now();
    let vms = [
        vm("near", "a", "r"),
        vm("region", "b", "r"),
        vm("far", "c", "s"),
    ];
    let table = table(Policy::Affinity, &vms);
    assert_eq!(count_picks(&table, "near", &[], now), 100);
    table.apply_report("near", &load(16, 8, 4000), now);
    assert_eq!(count_picks(&table, "region", &[], now), 100);
    assert_eq!(table.link_bytes(), 0);
    table.apply_report("region", &load(16, 8, 4000), now);
    let pick = table.pick(&request(&[], &[], now), &mut rng(), now);
    assert_eq!(
        pick.map(|pick| (pick.vm, pick.crosses_link)).ok(),
        Some(("far".to_owned(), true))
    );
    assert!(table.link_bytes() > 0);
}

#[test]
fn full_link_is_not_used() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[vm("far", "c", "s")]);
    table.set_daemons(8);
    let mut rng = rng();
    let mut refused = 0;
    for _ in 0..2000 {
        match table.pick(&request(&[], &[], now), &mut rng, now) {
            Ok(pick) => table.finish(pick.permit, Outcome::Cancelled, now),
            Err(refusal) => refused += usize::from(refusal.retry_after.is_some()),
        }
    }
    // 8 daemons share 1.5 MB/s, so one may send 188 KB/s. The rate's time constant is 5 s.
    assert!(refused > 0);
    assert!(
        table.link_bytes() < 1_000_000,
        "{} bytes sent across the link",
        table.link_bytes()
    );
}

#[test]
fn request_that_would_wait_beyond_its_deadline_is_refused() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    table.apply_report("one", &load(16, 100, 400_000), now);
    let refusal = table
        .pick(&request(&[], &[], now), &mut rng(), now)
        .map(|pick| pick.vm);
    let refusal = refusal.expect_err("the request was not refused");
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn vm_that_times_out_gets_no_requests_until_a_probe_succeeds() {
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    let mut rng = rng();
    for _ in 0..3 {
        let now = Instant::now();
        if let Ok(pick) = table.pick(&request(&[], &[], now), &mut rng, now) {
            table.finish(pick.permit, Outcome::Failed(Kind::TimedOut), now);
        }
    }
    let now = Instant::now();
    let refusal = table
        .pick(&request(&[], &[], now), &mut rng, now)
        .map(|pick| pick.vm);
    let wait = refusal
        .expect_err("the request was not refused")
        .retry_after;
    advance(wait.unwrap_or_default() + Duration::from_secs(1)).await;
    let now = Instant::now();
    let probe = table.pick(&request(&[], &[], now), &mut rng, now);
    assert!(table.pick(&request(&[], &[], now), &mut rng, now).is_err());
    if let Ok(probe) = probe {
        table.finish(probe.permit, Outcome::Answered, now);
    }
    assert_eq!(table.snapshot(now)[0].breaker, Phase::Closed);
}

#[test]
fn dropped_permit_ends_the_request() {
    let now = Instant::now();
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    let pick = table.pick(&request(&[], &[], now), &mut rng(), now);
    assert_eq!(table.snapshot(now)[0].in_flight, 1);
    drop(pick);
    assert_eq!(table.snapshot(now)[0].in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn older_report_does_not_replace_a_newer_one() {
    let table = table(Policy::Affinity, &[vm("one", "a", "r")]);
    let old = Instant::now();
    advance(Duration::from_secs(1)).await;
    let now = Instant::now();
    table.apply_report("one", &load(16, 30, 9000), now);
    let queue = table.snapshot(now)[0].queue;
    table.apply_report("one", &load(0, 0, 0), old);
    table.apply_level("one", 0, now);
    assert_eq!(table.snapshot(now)[0].queue, queue);
}

proptest! {
    #[test]
    fn level_gives_receivers_the_same_queue_estimate(running in 0u32..=16, waiting in 0u32..20) {
        let now = Instant::now();
        let waiting = if running == 16 { waiting } else { 0 };
        let poller = table(Policy::Affinity, &[vm("one", "a", "r")]);
        let receiver = table(Policy::Affinity, &[vm("one", "a", "r")]);
        poller.apply_report("one", &load(running, waiting, 0), now);
        let level = poller.load_level("one").unwrap_or_default();
        receiver.apply_level("one", level, now);
        let reported = poller.snapshot(now)[0].queue.as_secs_f64();
        let received = receiver.snapshot(now)[0].queue.as_secs_f64();
        prop_assert!(
            (reported - received).abs() <= reported * 0.1 + 0.001,
            "poller estimates {} s, receiver {} s",
            reported,
            received
        );
    }
}
