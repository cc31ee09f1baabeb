//! Membership under loss, pauses, kills, restarts and partitions, on simulated time.

mod sim;

use std::time::Duration;

use peer::State;
use proptest::prelude::*;
use sim::{Net, Weather};

const SECOND: Duration = Duration::from_secs(1);
/// a killed daemon is off every list of its data centre after this time
const DETECTION: Duration = Duration::from_secs(3);
/// daemons that start agree on their list after this time
const JOINING: Duration = Duration::from_secs(10);

fn settled(seed: u64, weather: Weather, centres: usize, size: usize) -> Net {
    let mut net = Net::with(seed, weather, centres, size);
    let took = net.run_until(JOINING, Net::agrees);
    assert!(took.is_some(), "no agreement after the start, seed {seed}");
    net
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn detects_a_silent_daemon(seed: u64, size in 3usize..16, wait_ms in 0u64..1000) {
        let mut net = settled(seed, Weather::default(), 1, size);
        net.run(Duration::from_millis(wait_ms));
        let victim = net.daemons[size / 2].me.instance;
        net.kill(size / 2);
        let took = net.run_until(DETECTION, |net| net.nobody_lists(victim));
        prop_assert!(took.is_some(), "still listed after {DETECTION:?}");
        prop_assert_eq!(net.ever_buried(), vec![victim]);
    }

    #[test]
    fn detects_a_killed_daemon_that_refuses(seed: u64, size in 2usize..16) {
        let weather = Weather { refuse: true, ..Weather::default() };
        let mut net = settled(seed, weather, 1, size);
        let victim = net.daemons[0].me.instance;
        net.kill(0);
        let took = net.run_until(DETECTION, |net| net.nobody_lists(victim));
        prop_assert!(took.is_some(), "still listed after {DETECTION:?}");
    }

    #[test]
    fn believes_nobody_gone_under_loss(seed: u64, size in 2usize..12) {
        let weather = Weather { loss: 0.1, ..Weather::default() };
        let mut net = Net::with(seed, weather, 1, size);
        net.run(60 * SECOND);
        prop_assert_eq!(net.ever_buried(), Vec::<u64>::new());
    }

    #[test]
    fn believes_nobody_gone_when_paused(seed: u64, size in 2usize..12, wait_ms in 0u64..1000) {
        let mut net = settled(seed, Weather::default(), 1, size);
        for place in 0..size {
            net.run(Duration::from_millis(wait_ms));
            net.pause(place, SECOND);
            net.run(3 * SECOND);
        }
        prop_assert_eq!(net.ever_buried(), Vec::<u64>::new());
    }

    #[test]
    fn replaces_a_daemon_restarted_on_its_vm(seed: u64, size in 2usize..10, wait_ms in 0u64..4000) {
        let mut net = settled(seed, Weather::default(), 1, size);
        let old = net.daemons[0].me.instance;
        net.kill(0);
        net.run(Duration::from_millis(wait_ms));
        net.start("vm-0-0", 0, 0, &["10.0.0.1:7000".to_owned()]);
        let took = net.run_until(DETECTION, |net| net.nobody_lists(old) && net.agrees());
        prop_assert!(took.is_some(), "the old instance is listed or the new one is not");
    }

    #[test]
    fn agrees_again_when_a_partition_heals(seed: u64, size in 4usize..10, cut_s in 1u32..60) {
        let mut net = settled(seed, Weather::default(), 1, size);
        for place in 0..size / 2 {
            net.daemons[place].side = 1;
        }
        net.cut = true;
        net.run(cut_s * SECOND);
        net.cut = false;
        let took = net.run_until(30 * SECOND, Net::agrees);
        prop_assert!(took.is_some(), "no agreement 30 s after the partition healed");
    }

    #[test]
    fn shows_a_leaving_daemon_everywhere_within_a_second(seed: u64, size in 2usize..16) {
        let mut net = settled(seed, Weather::default(), 1, size);
        let leaver = net.daemons[0].me.instance;
        net.order(0, |core, now| core.leave(now));
        let took = net.run_until(SECOND, |net| {
            net.running().iter().all(|place| {
                let members = net.daemons[*place].core.members(net.now);
                members.iter().any(|m| m.instance == leaver && m.state == State::Leaving)
            })
        });
        prop_assert!(took.is_some(), "somebody does not know that it leaves");
        net.order(0, |core, now| core.quit(now));
        net.kill(0);
        let took = net.run_until(SECOND, |net| net.nobody_lists(leaver));
        prop_assert!(took.is_some(), "listed after it left");
    }

    #[test]
    fn lists_other_data_centres(seed: u64, centres in 2usize..5, size in 1usize..5) {
        let mut net = settled(seed, Weather::default(), centres, size);
        let victim = net.daemons[0].me.instance;
        net.kill(0);
        let limit = DETECTION + 5 * SECOND;
        if size > 1 {
            let took = net.run_until(limit, |net| net.nobody_lists(victim));
            prop_assert!(took.is_some(), "another data centre lists a dead daemon");
        }
    }

    #[test]
    fn survives_the_loss_of_a_data_centre(seed: u64, size in 1usize..4) {
        let mut net = settled(seed, Weather::default(), 3, size);
        for place in 0..size {
            net.daemons[place].side = 1;
        }
        net.cut = true;
        net.run(40 * SECOND);
        let listed = net.daemons[size].core.members(net.now).len();
        prop_assert_eq!(listed, 2 * size, "a data centre cut off is still listed");
        let alone = net.daemons[0].core.members(net.now).len();
        prop_assert_eq!(alone, size);
        net.cut = false;
        let took = net.run_until(30 * SECOND, Net::agrees);
        prop_assert!(took.is_some(), "no agreement 30 s after the data centre came back");
    }
}

#[test]
fn detects_under_loss_and_a_pause_of_others() {
    for seed in 0..20 {
        let weather = Weather {
            loss: 0.1,
            ..Weather::default()
        };
        let mut net = Net::with(seed, weather, 1, 8);
        net.run(JOINING);
        let victim = net.daemons[3].me.instance;
        net.kill(3);
        net.pause(4, SECOND);
        let took = net.run_until(2 * DETECTION, |net| net.nobody_lists(victim));
        assert!(took.is_some(), "still listed, seed {seed}");
        assert_eq!(net.ever_buried(), vec![victim], "seed {seed}");
    }
}
