//! Facts and duties under loss, reordering, partitions and kills of daemons.

mod sim;

use std::collections::BTreeMap;
use std::time::Duration;

use peer::fact::{Key, Ledger, Merge, Peer, Priority, Queue, Subject, Update, levels, timing};
use peer::{Fact, Member, State, duty};
use proptest::prelude::*;
use schema::member::{Applied, Demand, Entry, Exception, Item, Leaving, Load, Moved, Revision};
use sim::{Conditions, Network};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const JOIN_LIMIT: Duration = Duration::from_secs(10);
/// time in which a revision of the configuration reaches all daemons
const REVISION_LIMIT: Duration = Duration::from_secs(13);

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

fn started_network(seed: u64, conditions: Conditions, data_centres: usize, size: usize) -> Network {
    let mut network = Network::with_data_centres(seed, conditions, data_centres, size);
    let took = network.run_until(JOIN_LIMIT, Network::lists_agree);
    assert!(
        took.is_some(),
        "member lists differ {JOIN_LIMIT:?} after the start, seed {seed}"
    );
    network
}

fn knows_draining(network: &Network, index: usize, vm: &str) -> bool {
    let leaving = network.daemons[index].core.draining_vms(network.now);
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
    fn newest_version_wins_in_any_order(
        items in prop::collection::vec((0u64..4, 0u64..12, 0usize..3, 1u64..900), 1..60),
        gaps in prop::collection::vec(0u64..40, 60),
    ) {
        let mut now = Instant::now();
        let mut ledger = Ledger::default();
        let mut latest: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        for ((origin, counter, vm, seconds), gap) in items.into_iter().zip(gaps) {
            now += Duration::from_secs(gap);
            let version = (counter, origin);
            let result =
                ledger.merge(&item(origin, counter, leaving(&vm.to_string(), seconds)), now);
            let previous = latest.get(&vm).copied();
            prop_assert_eq!(
                result == Merge::Updated,
                previous.is_none_or(|previous| version > previous)
            );
            prop_assert_eq!(result == Merge::Duplicate, previous == Some(version));
            latest.insert(vm, previous.map_or(version, |previous| previous.max(version)));
            ledger.prune(now);
            let stored = ledger
                .latest(&Key::Leaving(vm.to_string()))
                .expect("an item about the VM was merged");
            prop_assert_eq!((stored.counter, stored.origin), latest[&vm]);
        }
    }

    #[test]
    fn revision_never_decreases(
        items in prop::collection::vec((0u64..4, 0u64..50, 0u64..50), 1..40)
    ) {
        let now = Instant::now();
        let mut ledger = Ledger::default();
        let mut highest = 0;
        for (origin, counter, number) in items {
            ledger.merge(&item(origin, counter, Fact::Revision(Revision { number })), now);
            highest = highest.max(number);
            prop_assert_eq!(ledger.revision(), highest);
        }
    }

    #[test]
    fn levels_round_trip_as_text(list in prop::collection::vec(0u8..=levels::HIGHEST, 0..200)) {
        let text = levels::encode(&list);
        prop_assert_eq!(text.len(), list.len());
        prop_assert_eq!(levels::decode(&text), Some(list));
    }

    #[test]
    fn messages_respect_the_byte_limit(
        sizes in prop::collection::vec(1usize..400, 1..40),
        limit in 1usize..1000,
    ) {
        let mut queue = Queue::default();
        let unknown_sender = Peer { instance: 0, is_successor: false };
        for (number, bytes) in sizes.iter().enumerate() {
            queue.add(
                update(Subject::Member(number as u64), Priority::Fact, *bytes),
                unknown_sender
            );
        }
        let mut sends: BTreeMap<(u64, bool), usize> = BTreeMap::new();
        let mut is_successor = false;
        while !queue.is_empty() {
            is_successor = !is_successor;
            let subjects = queue.take(Peer { instance: 99, is_successor }, limit);
            let mut bytes = 0;
            for subject in &subjects {
                let Subject::Member(number) = subject else {
                    unreachable!("only members were queued")
                };
                bytes += sizes[*number as usize];
                *sends.entry((*number, is_successor)).or_default() += 1;
            }
            prop_assert!(bytes <= limit || subjects.len() == 1);
        }
        prop_assert_eq!(sends.len(), 2 * sizes.len());
        for ((_, is_successor), count) in sends {
            let expected = if is_successor { 1 } else { 2 };
            prop_assert_eq!(count, expected);
        }
    }

    #[test]
    fn removing_a_member_moves_only_its_duties(
        instances in prop::collection::btree_set(any::<u64>(), 2..20),
        names in prop::collection::vec("[a-z]{1,8}", 1..20),
    ) {
        let members: Vec<Member> = instances.iter().map(|instance| member(*instance)).collect();
        let fewer = &members[1..];
        let removed = members[0].instance;
        for name in &names {
            let before = duty::holders(&members, name, 1)[0].instance;
            let after = duty::holders(fewer, name, 1)[0].instance;
            prop_assert!(before == after || before == removed);
        }
    }

    #[test]
    fn urgent_fact_reaches_all_members_within_a_second(seed: u64, size in 2usize..50) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        network.with_core(0, |core, now| core.publish(leaving("engine-1", 30), now));
        let took = network.run_until(SECOND, |network| {
            (0..size).all(|index| knows_draining(network, index, "engine-1"))
        });
        prop_assert!(took.is_some(), "a daemon does not know the draining VM");
    }

    #[test]
    fn revision_reaches_all_daemons_under_loss(
        seed: u64,
        data_centres in 2usize..6,
        size in 1usize..5,
    ) {
        let conditions = Conditions { loss: 0.1, ..Conditions::default() };
        let mut network = Network::with_data_centres(seed, conditions, data_centres, size);
        network.run(JOIN_LIMIT);
        network.with_core(0, |core, now| core.publish(Fact::Revision(Revision { number: 3 }), now));
        let took = network.run_until(REVISION_LIMIT, |network| {
            network.daemons.iter().all(|daemon| daemon.core.revision() == 3)
        });
        prop_assert!(
            took.is_some(),
            "a daemon does not know the revision after {REVISION_LIMIT:?}"
        );
    }

    #[test]
    fn draining_vm_is_known_in_other_data_centres(
        seed: u64,
        data_centres in 2usize..5,
        size in 1usize..5
    ) {
        let mut network = started_network(seed, Conditions::default(), data_centres, size);
        network.with_core(0, |core, now| core.publish(leaving("engine-1", 30), now));
        let took = network.run_until(3 * SECOND, |network| {
            (0..network.daemons.len()).all(|index| knows_draining(network, index, "engine-1"))
        });
        prop_assert!(took.is_some(), "a daemon does not know the draining VM");
    }

    #[test]
    fn facts_converge_after_a_partition(seed: u64, size in 4usize..10) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        for index in 0..size / 2 {
            network.daemons[index].partition = 1;
        }
        network.is_partitioned = true;
        network.run(5 * SECOND);
        for index in 0..size {
            let number = 10 + index as u64;
            network.with_core(index, |core, now| {
                core.publish(Fact::Applied(Applied { number }), now)
            });
        }
        network.with_core(0, |core, now| core.publish(leaving("here", 300), now));
        network.with_core(size - 1, |core, now| core.publish(leaving("there", 300), now));
        network.with_core(size - 1, |core, now| {
            core.publish(Fact::Revision(Revision { number: 8 }), now)
        });
        network.run(20 * SECOND);
        network.is_partitioned = false;
        let took = network.run_until(30 * SECOND, |network| {
            (0..size).all(|index| {
                let core = &network.daemons[index].core;
                knows_draining(network, index, "here")
                    && knows_draining(network, index, "there")
                    && core.revision() == 8
                    && core.applied_revisions(network.now).len() == size
            })
        });
        prop_assert!(took.is_some(), "facts differ 30 s after the end of the partition");
    }

    #[test]
    fn demand_is_summed_under_loss_and_after_the_summing_daemon_is_killed(
        seed: u64,
        size in 2usize..6
    ) {
        let conditions = Conditions { loss: 0.05, ..Conditions::default() };
        let mut network = started_network(seed, conditions, 2, size);
        for index in 0..2 * size {
            let entries = vec![entry("press", 50), entry("desk", index as u64)];
            network.with_core(index, |core, now| {
                core.publish(Fact::Demand(Demand { entries }), now)
            });
        }
        let all = 50 * size as u64;
        let sums = move |network: &Network, missing: u64| {
            network.running().iter().all(|index| {
                let demand = network.daemons[*index].core.demand("press");
                demand.fleet.tokens_per_second == 2 * all - missing
            })
        };
        prop_assert!(
            network.run_until(20 * SECOND, |network| sums(network, 0)).is_some(),
            "wrong sum after 20 s"
        );
        let members = network.daemons[0].core.members(network.now);
        let here = network.daemons[0].me.data_centre.clone();
        let local: Vec<Member> = members.into_iter().filter(|m| m.data_centre == here).collect();
        let summing = duty::holders(&local, "sum", 1)[0].instance;
        let index = network
            .daemons
            .iter()
            .position(|d| d.me.instance == summing)
            .expect("the summing daemon is simulated");
        network.kill(index);
        prop_assert!(
            network.run_until(30 * SECOND, |network| sums(network, 50)).is_some(),
            "wrong sum 30 s after the kill"
        );
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
fn facts_are_sent_before_members_of_other_data_centres() {
    let mut queue = Queue::default();
    let source = Peer {
        instance: 5,
        is_successor: false,
    };
    for instance in 10..500 {
        queue.add(
            update(Subject::Member(instance), Priority::Remote, 240),
            source,
        );
    }
    let fact = Subject::Fact(Key::Load(7));
    queue.add(update(fact.clone(), Priority::Fact, 150), source);
    queue.add(update(Subject::Member(6), Priority::Member, 240), source);
    let other = Peer {
        instance: 8,
        is_successor: true,
    };
    let subjects = queue.take(other, 640);
    assert_eq!(
        subjects,
        vec![Subject::Member(6), fact, Subject::Member(10)]
    );
}

#[test]
fn old_updates_are_pruned_from_the_queue() {
    for size in [1, 2, 3] {
        let mut network = Network::with_data_centres(4, Conditions::default(), 1, size);
        network.run(JOIN_LIMIT);
        network.with_core(0, |core, now| core.publish(leaving("engine-1", 600), now));
        network.run(90 * SECOND);
        for daemon in &network.daemons {
            assert!(
                daemon.core.queue_len() <= 2 * size,
                "{} updates are queued",
                daemon.core.queue_len()
            );
        }
    }
}

#[test]
fn reachable_data_centres_stay_listed() {
    let mut network = started_network(9, Conditions::default(), 5, 8);
    for step in 0..240u64 {
        for index in 0..network.daemons.len() {
            let entries = (0..5)
                .map(|number| entry(&format!("workspace-{number}"), 100 + 50 * (step % 7)))
                .collect();
            network.with_core(index, |core, now| {
                core.publish(Fact::Demand(Demand { entries }), now)
            });
        }
        network.run(SECOND / 2);
        assert!(
            network.lists_agree(),
            "member lists differ after {} s",
            step / 2
        );
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
fn older_version_with_a_longer_lifetime_is_not_stored_after_pruning() {
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
fn leaving_members_hold_no_duty() {
    let mut members: Vec<Member> = (1..5).map(member).collect();
    let holder = duty::holders(&members, "watch", 1)[0].instance;
    let draining = members.iter_mut().find(|m| m.instance == holder);
    draining.expect("a member with this instance").state = State::Leaving;
    assert_ne!(duty::holders(&members, "watch", 1)[0].instance, holder);
    assert_eq!(duty::holders(&members, "watch", 9).len(), 3);
}

#[test]
fn load_reports_reach_all_members_until_their_origin_is_killed() {
    let mut network = started_network(5, Conditions::default(), 1, 6);
    let order = levels::addresses_hash(["10.1.0.1:80", "10.1.0.2:80"]);
    for round in 0..20u8 {
        let load = Load {
            order,
            levels: levels::encode(&[round, 63]),
            exceptions: vec![Exception {
                vm: "engine-9".to_owned(),
                level: 4,
            }],
        };
        network.with_core(2, |core, now| core.publish(Fact::Load(load), now));
        network.run(Duration::from_millis(100));
    }
    let last = levels::encode(&[19, 63]);
    let took = network.run_until(5 * SECOND, |network| {
        network.daemons.iter().all(|daemon| {
            let loads = daemon.core.loads(network.now);
            loads.len() == 1 && loads[0].report.levels == last
        })
    });
    assert!(took.is_some(), "a daemon lacks the last report");
    network.kill(2);
    let took = network.run_until(3 * SECOND, |network| {
        network
            .running()
            .iter()
            .all(|index| network.daemons[*index].core.loads(network.now).is_empty())
    });
    assert!(
        took.is_some(),
        "the report of a killed daemon is still listed"
    );
}

#[test]
fn handed_over_request_is_found_until_its_new_daemon_is_killed() {
    let mut network = started_network(6, Conditions::default(), 1, 4);
    let to = network.daemons[1].me.instance;
    let moved = Moved {
        request: "r-1".to_owned(),
        to,
    };
    network.with_core(0, |core, now| core.publish(Fact::Moved(moved), now));
    let took = network.run_until(SECOND, |network| {
        network.daemons.iter().all(|daemon| {
            let found = daemon.core.handover_target("r-1", network.now);
            found.is_some_and(|member| member.instance == to)
        })
    });
    assert!(took.is_some(), "a daemon can't find the request");
    network.kill(1);
    network.run(3 * SECOND);
    assert!(
        network.daemons[2]
            .core
            .handover_target("r-1", network.now)
            .is_none()
    );
}
