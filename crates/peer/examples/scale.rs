//! Counts the bytes of the control protocol at sizes that are too large for one machine.
//!
//! `cargo run --release -p peer --example scale -- [SECONDS]` runs the protocol over a
//! simulated network. For each size it prints the bytes per second and daemon, sent and
//! received together (payload, JSON-RPC envelope and WebSocket frame), and those of each kind
//! of message.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::collections::BTreeMap;
use std::time::Duration;

use peer::Fact;
use peer::duty;
use peer::fact::levels;
use schema::member::{Demand, Entry, Load};
use sim::{Conditions, Network};

/// numbers of data centres, and of daemons in each
const SIZES: [(usize, usize); 5] = [(3, 3), (1, 49), (4, 16), (8, 24), (8, 49)];
const SECONDS: u64 = 20;
const WARM_UP: Duration = Duration::from_secs(60);
const WORKSPACES: u64 = 5;
const POLLERS: usize = 4;
const UPSTREAMS_PERCENT: usize = 154;

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seconds = seconds.unwrap_or(SECONDS);
    println!("centres size mean_B/s most_B/s calls/s agree kinds_B/s");
    for (data_centres, size) in SIZES {
        measure(data_centres, size, seconds);
    }
}

fn measure(data_centres: usize, size: usize, seconds: u64) {
    let mut network = Network::with_data_centres(7, Conditions::default(), data_centres, size);
    network.run(WARM_UP);
    for step in 0..20 {
        publish(&mut network, step);
    }
    for daemon in &mut network.daemons {
        daemon.sent = 0;
        daemon.received = 0;
        daemon.calls = 0;
    }
    network.kinds = BTreeMap::new();
    for step in 0..2 * seconds {
        publish(&mut network, step);
    }
    let per_second = |bytes: u64| bytes / seconds;
    let daemons = network.daemons.len() as u64;
    let bytes: Vec<u64> = network
        .daemons
        .iter()
        .map(|d| d.sent + d.received)
        .collect();
    let calls: u64 = network.daemons.iter().map(|daemon| daemon.calls).sum();
    let kinds: Vec<String> = network
        .kinds
        .iter()
        .map(|(kind, bytes)| format!("{kind}={}", 2 * bytes / seconds / daemons))
        .collect();
    println!(
        "{data_centres:7} {size:4} {:8} {:8} {:7.1} {:5} {}",
        per_second(bytes.iter().sum::<u64>() / daemons),
        per_second(bytes.iter().max().copied().unwrap_or(0)),
        calls as f64 / seconds as f64 / daemons as f64,
        network.lists_agree(),
        kinds.join(" "),
    );
}

/// publishes load and demand on the daemons, then runs the network for half a second
fn publish(network: &mut Network, step: u64) {
    for index in 0..network.daemons.len() {
        let entry = |number: u64| Entry {
            workspace: format!("workspace-{number}"),
            tokens_per_second: 400 + (step * 37 + index as u64 * 13 + number) % 400,
            concurrent: 10 + (step % 10) as u32,
        };
        let demand = Demand {
            entries: (0..WORKSPACES).map(entry).collect(),
        };
        network.with_core(index, |core, now| {
            core.publish(Fact::Demand(demand), now);
            let me = core.local_member();
            let mut local = core.members(now);
            local.retain(|member| member.data_centre == me.data_centre);
            if duty::holds(&local, me.instance, "poll", POLLERS) {
                let upstreams = (local.len() * UPSTREAMS_PERCENT / 100).div_ceil(POLLERS);
                let level_list = vec![(step % 64) as u8; upstreams];
                let load = Load {
                    order: 1_234_567_890,
                    levels: levels::encode(&level_list),
                    exceptions: Vec::new(),
                };
                core.publish(Fact::Load(load), now);
            }
        });
    }
    network.run(Duration::from_millis(500));
}
