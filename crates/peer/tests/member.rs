//! Membership under loss, pauses, kills, restarts and partitions, on simulated time.

mod sim;

use std::time::Duration;

use peer::State;
use proptest::prelude::*;
use sim::{Conditions, Network};

const SECOND: Duration = Duration::from_secs(1);
/// time in which a killed daemon is removed from all lists of its data centre
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
/// time in which the lists of daemons that start agree
const JOIN_LIMIT: Duration = Duration::from_secs(10);

fn started_network(seed: u64, conditions: Conditions, data_centres: usize, size: usize) -> Network {
    let mut network = Network::with_data_centres(seed, conditions, data_centres, size);
    let took = network.run_until(JOIN_LIMIT, Network::lists_agree);
    assert!(
        took.is_some(),
        "member lists differ {JOIN_LIMIT:?} after the start, seed {seed}"
    );
    network
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn detects_a_killed_daemon_by_time_out(seed: u64, size in 3usize..16, wait_ms in 0u64..1000) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        network.run(Duration::from_millis(wait_ms));
        let victim = network.daemons[size / 2].me.instance;
        network.kill(size / 2);
        let took = network.run_until(DETECTION_LIMIT, |network| network.is_listed_nowhere(victim));
        prop_assert!(took.is_some(), "still listed after {DETECTION_LIMIT:?}");
        prop_assert_eq!(network.ever_marked_gone(), vec![victim]);
    }

    #[test]
    fn detects_a_killed_daemon_by_refused_connections(seed: u64, size in 2usize..16) {
        let conditions = Conditions { refuse_connections: true, ..Conditions::default() };
        let mut network = started_network(seed, conditions, 1, size);
        let victim = network.daemons[0].me.instance;
        network.kill(0);
        let took = network.run_until(DETECTION_LIMIT, |network| network.is_listed_nowhere(victim));
        prop_assert!(took.is_some(), "still listed after {DETECTION_LIMIT:?}");
    }

    #[test]
    fn marks_no_running_daemon_gone_under_loss(seed: u64, size in 2usize..12) {
        let conditions = Conditions { loss: 0.1, ..Conditions::default() };
        let mut network = Network::with_data_centres(seed, conditions, 1, size);
        network.run(60 * SECOND);
        prop_assert_eq!(network.ever_marked_gone(), Vec::<u64>::new());
    }

    #[test]
    fn marks_no_paused_daemon_gone(seed: u64, size in 2usize..12, wait_ms in 0u64..1000) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        for index in 0..size {
            network.run(Duration::from_millis(wait_ms));
            network.pause(index, SECOND);
            network.run(3 * SECOND);
        }
        prop_assert_eq!(network.ever_marked_gone(), Vec::<u64>::new());
    }

    #[test]
    fn replaces_a_daemon_restarted_on_its_vm(seed: u64, size in 2usize..10, wait_ms in 0u64..4000) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        let old = network.daemons[0].me.instance;
        network.kill(0);
        network.run(Duration::from_millis(wait_ms));
        network.start("vm-0-0", 0, 0, &["10.0.0.1:7000".to_owned()]);
        let took = network.run_until(DETECTION_LIMIT, |network| {
            network.is_listed_nowhere(old) && network.lists_agree()
        });
        prop_assert!(took.is_some(), "the old instance is still listed or the new one is not");
    }

    #[test]
    fn lists_agree_after_a_partition(seed: u64, size in 4usize..10, cut_s in 1u32..60) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        for index in 0..size / 2 {
            network.daemons[index].partition = 1;
        }
        network.is_partitioned = true;
        network.run(cut_s * SECOND);
        network.is_partitioned = false;
        let took = network.run_until(30 * SECOND, Network::lists_agree);
        prop_assert!(took.is_some(), "member lists differ 30 s after the end of the partition");
    }

    #[test]
    fn leaving_daemon_is_known_to_all_members_within_a_second(seed: u64, size in 2usize..16) {
        let mut network = started_network(seed, Conditions::default(), 1, size);
        let draining = network.daemons[0].me.instance;
        network.with_core(0, |core, now| core.start_drain(now));
        let took = network.run_until(SECOND, |network| {
            network.running().iter().all(|index| {
                let members = network.daemons[*index].core.members(network.now);
                members.iter().any(|m| m.instance == draining && m.state == State::Leaving)
            })
        });
        prop_assert!(took.is_some(), "a daemon does not list it as leaving after {SECOND:?}");
        network.with_core(0, |core, now| core.quit(now));
        network.kill(0);
        let took = network.run_until(SECOND, |network| network.is_listed_nowhere(draining));
        prop_assert!(took.is_some(), "still listed {SECOND:?} after it quit");
    }

    #[test]
    fn lists_follow_other_data_centres(seed: u64, data_centres in 2usize..5, size in 1usize..5) {
        let mut network = started_network(seed, Conditions::default(), data_centres, size);
        let victim = network.daemons[0].me.instance;
        network.kill(0);
        let limit = DETECTION_LIMIT + 5 * SECOND;
        if size > 1 {
            let took = network.run_until(limit, |network| network.is_listed_nowhere(victim));
            prop_assert!(took.is_some(), "another data centre still lists a killed daemon");
        }
    }

    #[test]
    fn unreachable_data_centre_is_unlisted_until_it_returns(seed: u64, size in 1usize..4) {
        let mut network = started_network(seed, Conditions::default(), 3, size);
        for index in 0..size {
            network.daemons[index].partition = 1;
        }
        network.is_partitioned = true;
        network.run(40 * SECOND);
        let listed = network.daemons[size].core.members(network.now).len();
        prop_assert_eq!(listed, 2 * size, "an unreachable data centre is still listed");
        let listed_by_isolated = network.daemons[0].core.members(network.now).len();
        prop_assert_eq!(listed_by_isolated, size);
        network.is_partitioned = false;
        let took = network.run_until(30 * SECOND, Network::lists_agree);
        prop_assert!(took.is_some(), "member lists differ 30 s after the data centre returned");
    }
}

#[test]
fn detects_a_killed_daemon_under_loss_and_a_pause_of_another() {
    for seed in 0..20 {
        let conditions = Conditions {
            loss: 0.1,
            ..Conditions::default()
        };
        let mut network = Network::with_data_centres(seed, conditions, 1, 8);
        network.run(JOIN_LIMIT);
        let victim = network.daemons[3].me.instance;
        network.kill(3);
        network.pause(4, SECOND);
        let took = network.run_until(2 * DETECTION_LIMIT, |network| {
            network.is_listed_nowhere(victim)
        });
        assert!(took.is_some(), "still listed, seed {seed}");
        assert_eq!(network.ever_marked_gone(), vec![victim], "seed {seed}");
    }
}
