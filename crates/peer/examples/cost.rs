//! Measures the cost of the control protocol to a daemon, with real sockets on loopback.
//!
//! `cargo run --release -p peer --example cost -- [SECONDS] [SIZE,SIZE,...]` starts nodes in
//! one process, in one data centre and in four. Each publishes demand, and some publish load.
//! Printed for each node: bytes per second on the WebSocket streams, sent and received
//! together; the same with an estimate of TCP/IP headers; calls per second; and processor
//! time of the process, kernel included, divided by the number of nodes.

use std::process::ExitCode;
use std::time::Duration;

use jsonrpsee::RpcModule;
use peer::fact::levels;
use peer::{Fact, Node, Settings, Traffic};
use rand::Rng;
use schema::member::{Demand, Entry, Load};
use tokio::time::{Instant, sleep};

const DATA_CENTRES: [usize; 2] = [1, 4];
const SIZES: [usize; 4] = [8, 16, 32, 64];
const SECONDS: u64 = 20;
/// time before the measurement starts
const WARM_UP: Duration = Duration::from_secs(10);
/// time limit until all nodes list each other
const JOIN_LIMIT: Duration = Duration::from_secs(60);
const WORKSPACES: usize = 5;
/// daemons of a data centre that poll upstreams
const POLLERS: usize = 4;
/// upstream VMs per 100 daemons
const UPSTREAMS_PERCENT: usize = 154;
/// bytes of TCP/IP headers of a call: request, response and one acknowledgement
const HEADER_BYTES: u64 = 3 * 52;
/// clock ticks per second in `/proc/self/stat`
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let seconds = arguments.next().and_then(|text| text.parse().ok());
    let seconds = seconds.unwrap_or(SECONDS);
    let sizes: Vec<usize> = match arguments.next() {
        Some(sizes) => sizes
            .split(',')
            .filter_map(|text| text.parse().ok())
            .collect(),
        None => SIZES.to_vec(),
    };
    println!("nodes centres stream_B/s with_headers_B/s most_B/s calls/s cpu_%/node");
    for data_centres in DATA_CENTRES {
        for size in &sizes {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(4)
                .enable_all()
                .build();
            let Ok(runtime) = runtime else {
                return ExitCode::FAILURE;
            };
            if !runtime.block_on(measure(*size, data_centres, seconds)) {
                println!(
                    "{size} {data_centres}: not all nodes list each other within {JOIN_LIMIT:?}"
                );
                return ExitCode::FAILURE;
            }
            runtime.shutdown_background();
        }
    }
    ExitCode::SUCCESS
}

async fn measure(size: usize, data_centres: usize, seconds: u64) -> bool {
    let nodes = start(size, data_centres).await;
    if !wait_until_joined(&nodes).await {
        return false;
    }
    let publishing = tokio::spawn(publish(nodes.clone()));
    sleep(WARM_UP).await;
    let before: Vec<Traffic> = nodes.iter().map(Node::traffic).collect();
    let cpu_before = processor_time();
    let start = Instant::now();
    sleep(Duration::from_secs(seconds)).await;
    let elapsed = start.elapsed().as_secs_f64();
    let cpu = processor_time() - cpu_before;
    let after: Vec<Traffic> = nodes.iter().map(Node::traffic).collect();
    publishing.abort();
    report(&before, &after, elapsed, cpu, data_centres);
    if !nodes.iter().all(|n| n.members().len() == nodes.len()) {
        println!("not all nodes list each other after the measurement");
    }
    for node in &nodes {
        node.stop().await;
    }
    true
}

async fn start(size: usize, data_centres: usize) -> Vec<Node> {
    let mut seeds: Vec<String> = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..size {
        let settings = Settings::new(
            &format!("vm-{number}"),
            &format!("east-{}", number % data_centres),
        )
        .region("east")
        .control("127.0.0.1:0")
        .callers("127.0.0.1:8080")
        .seeds(&seeds)
        .fleet_key("fleet-key")
        .operator_key("operator-key");
        let node = Node::start(settings, RpcModule::new(())).await;
        let node = node.expect("start of a node");
        if seeds.len() < 2 * data_centres {
            seeds.push(node.me().control.clone());
        }
        nodes.push(node);
    }
    nodes
}

async fn wait_until_joined(nodes: &[Node]) -> bool {
    let deadline = Instant::now() + JOIN_LIMIT;
    while Instant::now() < deadline {
        if nodes.iter().all(|node| node.members().len() == nodes.len()) {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

async fn publish(nodes: Vec<Node>) {
    loop {
        for node in &nodes {
            node.publish(Fact::Demand(demand()));
            if node.holds_duty("poll", POLLERS) {
                let upstreams = node.data_centre_members().len() * UPSTREAMS_PERCENT / 100;
                node.publish(Fact::Load(load(upstreams.div_ceil(POLLERS))));
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
}

fn demand() -> Demand {
    let mut random = rand::rng();
    let mut entry = |number: usize| Entry {
        workspace: format!("workspace-{number}"),
        tokens_per_second: random.random_range(400..800),
        concurrent: random.random_range(10..20),
    };
    Demand {
        entries: (0..WORKSPACES).map(&mut entry).collect(),
    }
}

fn load(upstreams: usize) -> Load {
    let mut random = rand::rng();
    let level_list: Vec<u8> = (0..upstreams).map(|_| random.random_range(0..64)).collect();
    Load {
        order: random.random(),
        levels: levels::encode(&level_list),
        exceptions: Vec::new(),
    }
}

fn report(before: &[Traffic], after: &[Traffic], elapsed: f64, cpu: f64, data_centres: usize) {
    let count = after.len() as f64;
    let mut bytes = Vec::new();
    let mut calls = 0;
    let mut served = 0;
    for (before, after) in before.iter().zip(after) {
        let sent = after.sent_bytes - before.sent_bytes;
        bytes.push(sent + after.received_bytes - before.received_bytes);
        calls += after.calls - before.calls;
        served += after.served - before.served;
    }
    let max = bytes.iter().max().copied().unwrap_or(0) as f64 / elapsed;
    let total: u64 = bytes.iter().sum();
    let stream = total as f64 / elapsed / count;
    let headers = ((calls + served) * HEADER_BYTES) as f64 / elapsed / count;
    println!(
        "{:5} {data_centres:7} {stream:10.0} {:16.0} {max:8.0} {:7.1} {:10.3}",
        after.len(),
        stream + headers,
        calls as f64 / elapsed / count,
        100.0 * cpu / elapsed / count,
    );
}

/// processor time of this process so far, seconds
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks as f64 / TICKS_PER_SECOND
}
