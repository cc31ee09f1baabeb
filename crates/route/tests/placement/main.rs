//! Replays of the load patterns that `route::placement` handles.

mod cluster;
mod fetch;
mod learned_engines;
mod old_reports;
mod report_interval;
mod slow_vms;
mod split;
mod stale_reports;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use route::placement::{
    Balancer, Choice, Completion, Distance, Load, Member, Outcome, Pick, Request, TimeLimit, Work,
};
use tokio::time::Instant;

const SERVICE: &str = "llm";
const MAX_EXPECTED: Duration = Duration::from_millis(1800);

fn engine(id: &str, distance: Distance) -> Member {
    Member {
        id: id.to_owned(),
        started_at_ms: 0,
        version: String::new(),
        distance,
        slots: 64,
        cache_tokens: Some(585_000),
        transfer: None,
        connections: 400,
    }
}

fn plain(id: &str, distance: Distance) -> Member {
    Member {
        id: id.to_owned(),
        started_at_ms: 0,
        version: String::new(),
        distance,
        slots: 6,
        cache_tokens: None,
        transfer: None,
        connections: 400,
    }
}

fn balancer(members: Vec<Member>) -> Balancer {
    let mut balancer = Balancer::new();
    balancer.set_members(SERVICE, members);
    balancer
}

fn engines(count: usize) -> Balancer {
    balancer(
        (0..count)
            .map(|i| engine(&format!("vm-{i}"), Distance::Zone))
            .collect(),
    )
}

/// a prompt with one long shared part and one short unshared part
fn prompt(shared: u64, unshared: u64) -> [(u64, u32); 2] {
    [(shared, 13_000), (unshared, 3_000)]
}

fn request<'a>(parts: &'a [(u64, u32)], avoid: &'a [String]) -> Request<'a> {
    Request {
        service: SERVICE,
        parts,
        prompt_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        output_tokens: 100,
        time_limit: TimeLimit::total(MAX_EXPECTED),
        draw: parts.last().map_or(0, |(id, _)| *id),
        avoid,
        version: None,
    }
}

fn sent(choice: Choice) -> Pick {
    match choice {
        Choice::Send(pick) => pick,
        other => panic!("expected a VM to be chosen, got {other:?}"),
    }
}

fn work(pick: &Pick) -> Work {
    Work {
        prefill_tokens: pick.uncached,
        held: pick.uncached + 100,
    }
}

fn end(balancer: &mut Balancer, id: &str, work: &Work, outcome: Outcome, now: Instant) {
    let completion = Completion {
        service: SERVICE,
        id,
        work,
        outcome,
        took: None,
    };
    balancer.end(&completion, now);
}

#[test]
fn daemons_without_reports_choose_the_same_vm_for_a_shared_part() {
    let now = Instant::now();
    let (one, other) = (engines(9), engines(9));
    for shared in 0..200 {
        let first = sent(one.choose(&request(&prompt(shared, 1), &[]), now));
        let second = sent(other.choose(&request(&prompt(shared, 2), &[]), now));
        assert_eq!(first.id, second.id, "part {shared}");
    }
}

#[test]
fn a_cached_part_is_not_prefilled_again() {
    let now = Instant::now();
    let mut balancer = engines(9);
    let parts = prompt(7, 1);
    let first = sent(balancer.choose(&request(&parts, &[]), now));
    balancer.begin(&request(&parts, &[]), &first.id, &work(&first), now);
    balancer.record_first_token(SERVICE, &first.id, &work(&first));
    let parts = prompt(7, 2);
    let second = sent(balancer.choose(&request(&parts, &[]), now));
    assert_eq!(second.id, first.id);
    assert_eq!(second.uncached, 3_000);
}

#[test]
fn a_popular_part_gets_a_second_vm_before_the_first_one_is_overloaded() {
    let now = Instant::now();
    let mut balancer = engines(9);
    let mut used: HashMap<String, u32> = HashMap::new();
    for number in 0..40 {
        let parts = prompt(7, 1000 + number);
        let pick = sent(balancer.choose(&request(&parts, &[]), now));
        balancer.begin(&request(&parts, &[]), &pick.id, &work(&pick), now);
        *used.entry(pick.id).or_default() += 1;
    }
    assert!(used.len() >= 2, "all went to one VM: {used:?}");
    let busiest = used.values().max().expect("no VM was chosen");
    assert!(*busiest <= 30, "one VM got {busiest} of 40");
}

#[test]
fn load_reported_by_peers_counts_until_it_expires() {
    let now = Instant::now();
    let mut balancer = engines(2);
    let parts = prompt(7, 1);
    let first = sent(balancer.choose(&request(&parts, &[]), now));
    let load = Load {
        running: 20,
        prefill_tokens: 80_000,
        held: 100_000,
    };
    balancer.set_peer_loads("peer", HashMap::from([(first.id.clone(), load)]), now);
    let second = sent(balancer.choose(&request(&parts, &[]), now));
    assert_ne!(second.id, first.id);
    let later = now + Duration::from_secs(10);
    let third = sent(balancer.choose(&request(&parts, &[]), later));
    assert_eq!(third.id, first.id, "an expired report was counted");
}

#[test]
fn overload_is_refused_at_once_with_a_retry_delay() {
    let now = Instant::now();
    let mut balancer = engines(3);
    let mut refused = None;
    for number in 0..200 {
        let parts = prompt(number, 10_000 + number);
        match balancer.choose(&request(&parts, &[]), now) {
            Choice::Send(pick) => {
                balancer.begin(&request(&parts, &[]), &pick.id, &work(&pick), now)
            }
            Choice::Full(full) => {
                refused = Some((number, full.available_in));
                break;
            }
            Choice::NoVm => panic!("got Choice::NoVm although the service has VMs"),
        }
    }
    let (accepted, wait) = refused.expect("three engines accepted 200 prompts of 16,000 tokens");
    // 1.74 s of prefill at 50 tokens per millisecond allow five prompts of 16,000 tokens per VM
    assert!(
        (9..=18).contains(&accepted),
        "{accepted} requests were accepted"
    );
    assert!(
        wait >= Duration::from_millis(300) && wait < Duration::from_secs(5),
        "retry delay of {wait:?}"
    );
}

#[test]
fn an_unresponsive_vm_is_chosen_last() {
    let now = Instant::now();
    let mut balancer = engines(2);
    let parts = prompt(7, 1);
    let unresponsive = sent(balancer.choose(&request(&parts, &[]), now));
    balancer.begin(
        &request(&parts, &[]),
        &unresponsive.id,
        &work(&unresponsive),
        now,
    );
    let later = now + Duration::from_millis(1000);
    let next = sent(balancer.choose(&request(&parts, &[]), later));
    assert_ne!(next.id, unresponsive.id);
    balancer.record_activity(SERVICE, &unresponsive.id, later);
    balancer.record_first_token(SERVICE, &unresponsive.id, &work(&unresponsive));
    let back = sent(balancer.choose(&request(&parts, &[]), later));
    assert_eq!(back.id, unresponsive.id);
}

#[test]
fn a_vm_with_more_failures_than_others_is_avoided() {
    let now = Instant::now();
    let mut balancer = balancer(vec![
        plain("good", Distance::Region),
        plain("grey", Distance::Zone),
    ]);
    let none = Work::default();
    for turn in 0..60 {
        let id = if turn % 2 == 0 { "grey" } else { "good" };
        balancer.begin(&request(&[], &[]), id, &none, now);
        let outcome = if id == "grey" {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        end(&mut balancer, id, &none, outcome, now);
    }
    assert_eq!(sent(balancer.choose(&request(&[], &[]), now)).id, "good");
}

#[test]
fn failures_common_to_all_vms_do_not_penalise_one() {
    let now = Instant::now();
    let mut balancer = balancer(vec![
        plain("far", Distance::Link),
        plain("near", Distance::Zone),
    ]);
    let none = Work::default();
    for turn in 0..400 {
        let id = if turn % 2 == 0 { "near" } else { "far" };
        balancer.begin(&request(&[], &[]), id, &none, now);
        let outcome = if turn % 14 < 2 {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        end(&mut balancer, id, &none, outcome, now);
    }
    assert_eq!(sent(balancer.choose(&request(&[], &[]), now)).id, "near");
}

#[test]
fn a_broken_connection_pauses_a_vm_for_a_limited_time() {
    let now = Instant::now();
    let mut balancer = balancer(vec![
        plain("far", Distance::Link),
        plain("near", Distance::Zone),
    ]);
    let none = Work::default();
    balancer.begin(&request(&[], &[]), "near", &none, now);
    end(&mut balancer, "near", &none, Outcome::Broken, now);
    assert_eq!(sent(balancer.choose(&request(&[], &[]), now)).id, "far");
    let later = now + Duration::from_secs(1);
    assert_eq!(sent(balancer.choose(&request(&[], &[]), later)).id, "near");
}

#[test]
fn a_suspect_vm_is_used_when_there_is_no_other() {
    let now = Instant::now();
    let mut balancer = balancer(vec![plain("only", Distance::Zone)]);
    let none = Work::default();
    balancer.begin(&request(&[], &[]), "only", &none, now);
    end(&mut balancer, "only", &none, Outcome::Broken, now);
    let avoid = ["only".to_owned()];
    assert_eq!(sent(balancer.choose(&request(&[], &avoid), now)).id, "only");
}

#[test]
fn a_short_prompt_stays_in_its_region_and_a_long_one_goes_to_its_preferred_vm() {
    let now = Instant::now();
    let mut members: Vec<Member> = vec![engine("near", Distance::Zone)];
    members.extend((0..8).map(|i| engine(&format!("far-{i}"), Distance::Link)));
    let balancer = balancer(members);
    let far = |parts: &[(u64, u32)]| {
        sent(balancer.choose(&request(parts, &[]), now)).distance == Distance::Link
    };
    let short = (0..100)
        .filter(|id| far(&[(*id, 300), (1_000 + id, 900)]))
        .count();
    let long = (0..100).filter(|id| far(&prompt(*id, 1_000 + id))).count();
    assert_eq!(short, 0);
    assert!(
        long > 70,
        "only {long} of 100 long prompts crossed the link"
    );
}

#[test]
fn requests_without_a_prompt_are_spread_over_equivalent_vms() {
    let now = Instant::now();
    let balancer = balancer(
        (0..3)
            .map(|i| plain(&format!("vm-{i}"), Distance::Zone))
            .collect(),
    );
    let mut used: HashMap<String, u32> = HashMap::new();
    for draw in 0..300 {
        let request = Request {
            draw,
            ..request(&[], &[])
        };
        *used
            .entry(sent(balancer.choose(&request, now)).id)
            .or_default() += 1;
    }
    assert!(used.values().all(|count| *count > 60), "{used:?}");
}

#[test]
fn a_vm_that_was_slow_once_is_tried_again() {
    let now = Instant::now();
    let mut balancer = balancer(vec![
        plain("one", Distance::Zone),
        plain("other", Distance::Zone),
    ]);
    let none = Work::default();
    let usual = std::iter::repeat_n(("one", 5), 60);
    for (id, ms) in [("other", 400)].into_iter().chain(usual) {
        balancer.begin(&request(&[], &[]), id, &none, now);
        let completion = Completion {
            service: SERVICE,
            id,
            work: &none,
            outcome: Outcome::Answered,
            took: Some(Duration::from_millis(ms)),
        };
        balancer.end(&completion, now);
    }
    let draws = |now: Instant| {
        let chosen = (0..50).filter(|draw| {
            let request = Request {
                draw: *draw,
                ..request(&[], &[])
            };
            sent(balancer.choose(&request, now)).id == "other"
        });
        chosen.count()
    };
    assert_eq!(draws(now), 0);
    assert!(draws(now + Duration::from_secs(3)) > 0);
}

#[test]
fn an_unknown_service_has_no_vm() {
    let balancer = engines(2);
    let request = Request {
        service: "other",
        ..request(&[], &[])
    };
    assert_eq!(balancer.choose(&request, Instant::now()), Choice::NoVm);
}

proptest! {
    /// in any order of events, the load is zero once all requests have ended
    #[test]
    fn load_returns_to_zero(steps in prop::collection::vec((0u64..20, 0usize..5), 1..80)) {
        let now = Instant::now();
        let mut balancer = engines(4);
        let mut running: Vec<(String, Work)> = Vec::new();
        for (shared, outcome) in steps {
            let parts = prompt(shared, 500 + shared);
            if let Choice::Send(pick) = balancer.choose(&request(&parts, &[]), now) {
                balancer.begin(&request(&parts, &[]), &pick.id, &work(&pick), now);
                running.push((pick.id.clone(), work(&pick)));
            }
            if outcome > 2 && !running.is_empty() {
                let (id, work) = running.remove(0);
                balancer.record_first_token(SERVICE, &id, &work);
                end(&mut balancer, &id, &work, Outcome::Answered, now);
            }
        }
        for (id, work) in running {
            balancer.record_first_token(SERVICE, &id, &work);
            end(&mut balancer, &id, &work, Outcome::Cancelled, now);
        }
        prop_assert_eq!(balancer.total_load(SERVICE, now), Load::default());
    }
}

/// many small requests at once, more than the connections that the VM accepts
#[test]
fn requests_at_a_vm_are_limited_by_this_daemons_share_of_connections() {
    let vm = Member {
        connections: 24,
        ..plain("vm-1", Distance::Zone)
    };
    let mut balancer = balancer(vec![vm]);
    balancer.set_daemons(3);
    let now = Instant::now();
    let request = request(&[], &[]);
    for _ in 0..8 {
        assert!(matches!(balancer.choose(&request, now), Choice::Send(_)));
        balancer.begin(&request, "vm-1", &Work::default(), now);
    }
    assert!(matches!(balancer.choose(&request, now), Choice::Full(_)));
    balancer.set_daemons(2);
    assert!(matches!(balancer.choose(&request, now), Choice::Send(_)));
}
