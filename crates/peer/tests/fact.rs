//! Facts under loss, reordering, partitions and restarts.

mod sim;

use std::collections::BTreeMap;
use std::time::Duration;

use peer::fact::{Key, Ledger, Merge, Peer, Priority, Queue, Subject, Update, levels, timing};
use peer::{Fact, Member, State, duty};
use proptest::prelude::*;
use schema::member::{Applied, Demand, Entry, Exception, Item, Leaving, Load, Moved, Revision};
use sim::{Net, Weather};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const JOINING: Duration = Duration::from_secs(10);
/// a configuration revision is known everywhere after this time
const REVISION: Duration = Duration::from_secs(13);

fn leaving(vm: &str, seconds: u64) -> Fact {
    let vm = vm.to_owned();
    Fact::Leaving(Leaving { vm, seconds })
}

fn item(origin: u64, counter: u64, fact: Fact) -> Item {
    let lifetime = timing::lifetime(&fact);
    Item {
        origin,
        counter,
        life_ms: lifetime.as_millis() as u64,
        fact,
    }
}

fn settled(seed: u64, weather: Weather, centres: usize, size: usize) -> Net {
    let mut net = Net::with(seed, weather, centres, size);
    let took = net.run_until(JOINING, Net::agrees);
    assert!(took.is_some(), "no agreement after the start, seed {seed}");
    net
}

fn knows_leaving(net: &Net, place: usize, vm: &str) -> bool {
    let leaving = net.daemons[place].core.leaving(net.now);
    leaving.iter().any(|leaving| leaving.vm == vm)
}

fn entry(workspace: &str, tokens_per_second: u64) -> Entry {
    Entry {
        workspace: workspace.to_owned(),
        tokens_per_second,
        concurrent: 2,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn the_latest_version_wins_in_any_order(
        offers in prop::collection::vec((0u64..4, 0u64..12, 0usize..3, 1u64..900), 1..60),
        gaps in prop::collection::vec(0u64..40, 60),
    ) {
        let mut now = Instant::now();
        let mut ledger = Ledger::default();
        let mut latest: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        for ((origin, counter, vm, seconds), gap) in offers.into_iter().zip(gaps) {
            now += Duration::from_secs(gap);
            let version = (counter, origin);
            let news = ledger.merge(&item(origin, counter, leaving(&vm.to_string(), seconds)), now);
            let before = latest.get(&vm).copied();
            prop_assert_eq!(news == Merge::Updated, before.is_none_or(|before| version > before));
            prop_assert_eq!(news == Merge::Duplicate, before == Some(version));
            latest.insert(vm, before.map_or(version, |before| before.max(version)));
            ledger.prune(now);
            let stored = ledger.latest(&Key::Leaving(vm.to_string())).expect("it was offered");
            prop_assert_eq!((stored.counter, stored.origin), latest[&vm]);
        }
    }

    #[test]
    fn the_revision_only_goes_up(offers in prop::collection::vec((0u64..4, 0u64..50, 0u64..50), 1..40)) {
        let now = Instant::now();
        let mut ledger = Ledger::default();
        let mut highest = 0;
        for (origin, counter, number) in offers {
            ledger.merge(&item(origin, counter, Fact::Revision(Revision { number })), now);
            highest = highest.max(number);
            prop_assert_eq!(ledger.revision(), highest);
        }
    }

    #[test]
    fn levels_survive_the_text(list in prop::collection::vec(0u8..=levels::HIGHEST, 0..200)) {
        let text = levels::encode(&list);
        prop_assert_eq!(text.len(), list.len());
        prop_assert_eq!(levels::decode(&text), Some(list));
    }

    #[test]
    fn a_message_carries_a_bound_of_bytes(
        sizes in prop::collection::vec(1usize..400, 1..40),
        limit in 1usize..1000,
    ) {
        let mut queue = Queue::default();
        let nobody = Peer { instance: 0, is_successor: false };
        for (number, bytes) in sizes.iter().enumerate() {
            queue.add(update(Subject::Member(number as u64), Priority::Fact, *bytes), nobody);
        }
        let mut told: BTreeMap<(u64, bool), usize> = BTreeMap::new();
        let mut is_successor = false;
        while !queue.is_empty() {
            is_successor = !is_successor;
            let taken = queue.take(Peer { instance: 99, is_successor }, limit);
            let mut bytes = 0;
            for subject in &taken {
                let Subject::Member(number) = subject else { unreachable!("only members") };
                bytes += sizes[*number as usize];
                *told.entry((*number, is_successor)).or_default() += 1;
            }
            prop_assert!(bytes <= limit || taken.len() == 1);
        }
        prop_assert_eq!(told.len(), 2 * sizes.len());
        for ((_, is_successor), count) in told {
            let expected = if is_successor { 1 } else { 2 };
            prop_assert_eq!(count, expected);
        }
    }

    #[test]
    fn a_member_that_goes_moves_only_its_duties(
        instances in prop::collection::btree_set(any::<u64>(), 2..20),
        names in prop::collection::vec("[a-z]{1,8}", 1..20),
    ) {
        let members: Vec<Member> = instances.iter().map(|instance| member(*instance)).collect();
        let fewer = &members[1..];
        let goes = members[0].instance;
        for name in &names {
            let before = duty::holders(&members, name, 1)[0].instance;
            let after = duty::holders(fewer, name, 1)[0].instance;
            prop_assert!(before == after || before == goes);
        }
    }

    #[test]
    fn an_urgent_fact_reaches_the_data_centre_within_a_second(seed: u64, size in 2usize..50) {
        let mut net = settled(seed, Weather::default(), 1, size);
        net.order(0, |core, now| core.publish(leaving("engine-1", 30), now));
        let took = net.run_until(SECOND, |net| {
            (0..size).all(|place| knows_leaving(net, place, "engine-1"))
        });
        prop_assert!(took.is_some(), "somebody does not know it");
    }

    #[test]
    fn a_revision_is_known_everywhere_in_time(seed: u64, centres in 2usize..6, size in 1usize..5) {
        let weather = Weather { loss: 0.1, ..Weather::default() };
        let mut net = Net::with(seed, weather, centres, size);
        net.run(JOINING);
        net.order(0, |core, now| core.publish(Fact::Revision(Revision { number: 3 }), now));
        let took = net.run_until(REVISION, |net| {
            net.daemons.iter().all(|daemon| daemon.core.revision() == 3)
        });
        prop_assert!(took.is_some(), "a daemon does not know the revision");
    }

    #[test]
    fn leaving_reaches_other_data_centres(seed: u64, centres in 2usize..5, size in 1usize..5) {
        let mut net = settled(seed, Weather::default(), centres, size);
        net.order(0, |core, now| core.publish(leaving("engine-1", 30), now));
        let took = net.run_until(3 * SECOND, |net| {
            (0..net.daemons.len()).all(|place| knows_leaving(net, place, "engine-1"))
        });
        prop_assert!(took.is_some(), "somebody does not know it");
    }

    #[test]
    fn facts_converge_when_a_partition_heals(seed: u64, size in 4usize..10) {
        let mut net = settled(seed, Weather::default(), 1, size);
        for place in 0..size / 2 {
            net.daemons[place].side = 1;
        }
        net.cut = true;
        net.run(5 * SECOND);
        for place in 0..size {
            let number = 10 + place as u64;
            net.order(place, |core, now| core.publish(Fact::Applied(Applied { number }), now));
        }
        net.order(0, |core, now| core.publish(leaving("here", 300), now));
        net.order(size - 1, |core, now| core.publish(leaving("there", 300), now));
        net.order(size - 1, |core, now| core.publish(Fact::Revision(Revision { number: 8 }), now));
        net.run(20 * SECOND);
        net.cut = false;
        let took = net.run_until(30 * SECOND, |net| {
            (0..size).all(|place| {
                let core = &net.daemons[place].core;
                knows_leaving(net, place, "here")
                    && knows_leaving(net, place, "there")
                    && core.revision() == 8
                    && core.applied(net.now).len() == size
            })
        });
        prop_assert!(took.is_some(), "no agreement 30 s after the partition healed");
    }

    #[test]
    fn demand_is_summed_under_loss_and_after_the_summing_daemon_dies(seed: u64, size in 2usize..6) {
        let weather = Weather { loss: 0.05, ..Weather::default() };
        let mut net = settled(seed, weather, 2, size);
        for place in 0..2 * size {
            let entries = vec![entry("press", 50), entry("desk", place as u64)];
            net.order(place, |core, now| core.publish(Fact::Demand(Demand { entries }), now));
        }
        let all = 50 * size as u64;
        let sums = move |net: &Net, dead: u64| {
            net.running().iter().all(|place| {
                let demand = net.daemons[*place].core.demand("press");
                demand.fleet.tokens_per_second == 2 * all - dead
            })
        };
        prop_assert!(net.run_until(20 * SECOND, |net| sums(net, 0)).is_some(), "no sum");
        let members = net.daemons[0].core.members(net.now);
        let here = net.daemons[0].me.data_centre.clone();
        let local: Vec<Member> = members.into_iter().filter(|m| m.data_centre == here).collect();
        let summing = duty::holders(&local, "sum", 1)[0].instance;
        let place = net.daemons.iter().position(|d| d.me.instance == summing).expect("it runs");
        net.kill(place);
        prop_assert!(net.run_until(30 * SECOND, |net| sums(net, 50)).is_some(), "no new sum");
    }
}

fn update(subject: Subject, priority: Priority, bytes: usize) -> Update {
    Update {
        subject,
        priority,
        bytes,
        random_sends: 2,
    }
}

#[test]
fn members_of_other_data_centres_do_not_hold_up_facts() {
    let mut queue = Queue::default();
    let somebody = Peer {
        instance: 5,
        is_successor: false,
    };
    for instance in 10..500 {
        queue.add(
            update(Subject::Member(instance), Priority::Remote, 240),
            somebody,
        );
    }
    let fact = Subject::Fact(Key::Load(7));
    queue.add(update(fact.clone(), Priority::Fact, 150), somebody);
    queue.add(update(Subject::Member(6), Priority::Member, 240), somebody);
    let other = Peer {
        instance: 8,
        is_successor: true,
    };
    let taken = queue.take(other, 640);
    assert_eq!(taken, vec![Subject::Member(6), fact, Subject::Member(10)]);
}

#[test]
fn nothing_waits_for_ever() {
    for size in [1, 2, 3] {
        let mut net = Net::with(4, Weather::default(), 1, size);
        net.run(JOINING);
        net.order(0, |core, now| core.publish(leaving("engine-1", 600), now));
        net.run(90 * SECOND);
        for daemon in &net.daemons {
            assert!(
                daemon.core.queue_len() <= 2 * size,
                "{} wait",
                daemon.core.queue_len()
            );
        }
    }
}

#[test]
fn a_data_centre_in_reach_stays_listed() {
    let mut net = settled(9, Weather::default(), 5, 8);
    for step in 0..240u64 {
        for place in 0..net.daemons.len() {
            let entries = (0..5)
                .map(|number| entry(&format!("workspace-{number}"), 100 + 50 * (step % 7)))
                .collect();
            net.order(place, |core, now| {
                core.publish(Fact::Demand(Demand { entries }), now)
            });
        }
        net.run(SECOND / 2);
        assert!(net.agrees(), "a member is missing after {} s", step / 2);
    }
}

fn member(instance: u64) -> Member {
    Member {
        vm: instance.to_string(),
        instance,
        region: "east".to_owned(),
        data_centre: "east-0".to_owned(),
        control: String::new(),
        callers: String::new(),
        state: State::Live,
    }
}

#[test]
fn an_earlier_version_with_a_longer_life_does_not_come_back() {
    let start = Instant::now();
    let mut ledger = Ledger::default();
    let early = item(1, 1, leaving("a", 3000));
    let late = item(1, 2, leaving("a", 5));
    assert_eq!(ledger.merge(&late, start), Merge::Updated);
    let later = start + Duration::from_secs(600);
    ledger.prune(later);
    assert!(
        ledger
            .current(&Key::Leaving("a".to_owned()), later)
            .is_none()
    );
    assert_eq!(ledger.merge(&early, later), Merge::Stale);
}

#[test]
fn those_that_leave_hold_no_duty() {
    let mut members: Vec<Member> = (1..5).map(member).collect();
    let holder = duty::holders(&members, "watch", 1)[0].instance;
    let leaver = members.iter_mut().find(|m| m.instance == holder);
    leaver.expect("a member").state = State::Leaving;
    assert_ne!(duty::holders(&members, "watch", 1)[0].instance, holder);
    assert_eq!(duty::holders(&members, "watch", 9).len(), 3);
}

#[test]
fn loads_reach_everybody_and_lapse_with_their_origin() {
    let mut net = settled(5, Weather::default(), 1, 6);
    let order = levels::order(["10.1.0.1:80", "10.1.0.2:80"]);
    for round in 0..20u8 {
        let load = Load {
            order,
            levels: levels::encode(&[round, 63]),
            exceptions: vec![Exception {
                vm: "engine-9".to_owned(),
                level: 4,
            }],
        };
        net.order(2, |core, now| core.publish(Fact::Load(load), now));
        net.run(Duration::from_millis(100));
    }
    let last = levels::encode(&[19, 63]);
    let took = net.run_until(5 * SECOND, |net| {
        net.daemons.iter().all(|daemon| {
            let loads = daemon.core.loads(net.now);
            loads.len() == 1 && loads[0].report.levels == last
        })
    });
    assert!(took.is_some(), "the last report is not everywhere");
    net.kill(2);
    let took = net.run_until(3 * SECOND, |net| {
        net.running()
            .iter()
            .all(|place| net.daemons[*place].core.loads(net.now).is_empty())
    });
    assert!(took.is_some(), "the report of a dead daemon counts");
}

#[test]
fn a_moved_request_is_found_until_its_new_daemon_dies() {
    let mut net = settled(6, Weather::default(), 1, 4);
    let to = net.daemons[1].me.instance;
    let moved = Moved {
        request: "r-1".to_owned(),
        to,
    };
    net.order(0, |core, now| core.publish(Fact::Moved(moved), now));
    let took = net.run_until(SECOND, |net| {
        net.daemons.iter().all(|daemon| {
            let found = daemon.core.moved("r-1", net.now);
            found.is_some_and(|member| member.instance == to)
        })
    });
    assert!(took.is_some(), "somebody can't find the request");
    net.kill(1);
    net.run(3 * SECOND);
    assert!(net.daemons[2].core.moved("r-1", net.now).is_none());
}
