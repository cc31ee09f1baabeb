//! Load pattern: the VMs that hold a popular part are busy while others are idle.

use std::collections::HashMap;
use std::time::Duration;

use route::placement::{
    Balancer, Choice, Distance, Load, Member, Pick, Request, TimeLimit, Transfer, Work,
};
use tokio::time::Instant;

use super::{SERVICE, balancer, engine, prompt, request, sent, work};

/// 163,840 bytes a token over 550,000 Mbit/s: 13,000 tokens take 31 ms
const TRANSFER: Transfer = Transfer {
    token_bytes: 163_840,
    link_bytes_per_s: 550_000.0 * 1e6 / 8.0,
};

fn member(id: &str, distance: Distance) -> Member {
    Member {
        transfer: Some(TRANSFER),
        ..engine(id, distance)
    }
}

fn members(distance: Distance) -> Vec<Member> {
    let mut members = vec![member("holder", Distance::Zone)];
    members.extend((0..6).map(|vm| member(&format!("vm-{vm}"), distance)));
    members
}

fn in_time(parts: &[(u64, u32)]) -> Request<'_> {
    Request {
        time_limit: TimeLimit::total(Duration::from_secs(2)),
        ..request(parts, &[])
    }
}

/// a balancer in which the holder has a part and so many tokens to prefill
fn with_holder(members: Vec<Member>, waiting: u64, now: Instant) -> Balancer {
    let mut balancer = balancer(members);
    let parts = prompt(7, 1);
    let none = Work::default();
    balancer.begin(&in_time(&parts), "holder", &none, now);
    let load = Load {
        running: 1,
        prefill_tokens: waiting,
        held: 0,
    };
    balancer.set_peer_loads("peer", HashMap::from([("holder".to_owned(), load)]), now);
    balancer
}

fn choose(balancer: &Balancer, now: Instant) -> Pick {
    sent(balancer.choose(&in_time(&prompt(7, 2)), now))
}

/// without transfers, the part was prefilled again in 260 ms
#[test]
fn an_idle_vm_fetches_a_part_from_a_busy_holder() {
    let now = Instant::now();
    let pick = choose(&with_holder(members(Distance::Zone), 20_000, now), now);
    let fetch = pick.fetch.expect("a transfer");
    assert_eq!((fetch.from.as_str(), fetch.tokens), ("holder", 13_000));
    assert_ne!(pick.id, "holder");
    assert_eq!(pick.uncached, 3_000);
    assert!(
        pick.expected < Duration::from_millis(180),
        "{:?}",
        pick.expected
    );
    let mut without = members(Distance::Zone);
    for member in &mut without {
        member.transfer = None;
    }
    let pick = choose(&with_holder(without, 20_000, now), now);
    assert!(
        pick.fetch.is_none() && pick.expected > Duration::from_millis(360),
        "{pick:?}"
    );
}

#[test]
fn a_request_waits_at_a_holder_where_a_transfer_saves_little() {
    let now = Instant::now();
    let pick = choose(&with_holder(members(Distance::Zone), 1_000, now), now);
    assert_eq!((pick.id.as_str(), pick.fetch), ("holder", None));
}

#[test]
fn nothing_is_fetched_across_regions() {
    let now = Instant::now();
    let pick = choose(&with_holder(members(Distance::Link), 20_000, now), now);
    assert!(pick.fetch.is_none(), "{pick:?}");
}

/// transfers of a surge must not queue on one link until prefilling again would have been faster
#[test]
fn transfers_in_progress_delay_further_ones() {
    let now = Instant::now();
    let mut balancer = with_holder(members(Distance::Region), 20_000, now);
    let mut kinds = Vec::new();
    for number in 0..6 {
        let parts = prompt(7, 10 + number);
        let Choice::Send(pick) = balancer.choose(&in_time(&parts), now) else {
            panic!("expected a VM");
        };
        balancer.begin(&in_time(&parts), &pick.id, &work(&pick), now);
        if let Some(fetch) = &pick.fetch {
            assert!(fetch.time < Duration::from_millis(260), "{pick:?}");
            balancer.begin_fetch(SERVICE, &pick.id, fetch, now);
        }
        kinds.push(pick.fetch.map(|fetch| fetch.time));
    }
    let times: Vec<Duration> = kinds.iter().flatten().copied().collect();
    assert!(
        times.len() >= 2 && times.windows(2).all(|pair| pair[0] < pair[1]),
        "{kinds:?}"
    );
}

/// parts that running requests have displaced are not available
#[test]
fn memory_of_running_requests_is_not_available_for_cached_parts() {
    let now = Instant::now();
    let mut balancer = balancer(vec![engine("vm-0", Distance::Zone)]);
    let first = prompt(7, 1);
    balancer.begin(&in_time(&first), "vm-0", &Work::default(), now);
    let load = Load {
        running: 20,
        prefill_tokens: 0,
        held: 580_000,
    };
    balancer.set_peer_loads("peer", HashMap::from([("vm-0".to_owned(), load)]), now);
    let later = now + Duration::from_millis(100);
    let other = prompt(8, 2);
    balancer.begin(&in_time(&other), "vm-0", &Work::default(), later);
    let pick = sent(balancer.choose(&in_time(&prompt(7, 3)), later));
    assert_eq!(pick.cached, 0);
}

/// the preferred VM was chosen, and the request refused, while an idle VM would have served it
#[test]
fn a_preferred_vm_is_not_chosen_where_the_request_would_be_late() {
    let now = Instant::now();
    let limit = Duration::from_millis(600);
    for shared in 0..40 {
        let parts = [(shared, 13_000), (100 + shared, 1_000)];
        let request = Request {
            time_limit: TimeLimit::total(limit),
            ..request(&parts, &[])
        };
        let ids: Vec<String> = (0..4).map(|vm| format!("vm-{vm}")).collect();
        let mut balancer = balancer(ids.iter().map(|id| engine(id, Distance::Zone)).collect());
        let preferred = sent(balancer.choose(&request, now)).id;
        // its queue takes 340 ms, which is less than the bonus and the prefill together
        let load = Load {
            running: 1,
            prefill_tokens: 13_500,
            held: 0,
        };
        balancer.set_peer_loads("peer", HashMap::from([(preferred, load)]), now);
        let pick = sent(balancer.choose(&request, now));
        assert!(pick.expected <= limit, "{pick:?}");
    }
}
