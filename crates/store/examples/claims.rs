//! Measures the calls to the object API per keyed call, and the latency of claims.
//!
//! `cargo run --release -p store --example claims -- [seconds]` runs 8 daemons
//! with 100 keyed calls per second in total, from 5 workspaces of which one makes half of
//! the calls, against a stand-in for the store that takes 3 ms per call.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::objects::{Options as StoreOptions, Server};
use store::Client;
use store::claim::{Claim, Claims, Fingerprint, Options, Response, shard_name};

const DAEMONS: usize = 8;
const CALLS_PER_SECOND: f64 = 100.0;
const STORE_DELAY: Duration = Duration::from_millis(3);
/// time that the request of a claim runs
const REQUEST_TIME: Duration = Duration::from_millis(50);
const WORKSPACES: [&str; 8] = ["a", "a", "a", "a", "b", "c", "d", "e"];

/// a configuration of claims to be measured
struct Setup {
    name: &'static str,
    options: Options,
    /// whether all calls of a shard go to the same daemon
    routed: bool,
}

/// latencies in microseconds, and failed calls
struct Measurements {
    claim: Histogram<u64>,
    finish: Histogram<u64>,
    failed: u64,
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let time = Duration::from_secs(seconds.unwrap_or(20));
    println!(
        "setup                        calls  fail  writes/call reads/call  KB/s in  claim p50 p95 p99 ms  finish p50 p95 p99 ms"
    );
    for setup in setups() {
        run(&setup, time);
    }
}

fn setups() -> Vec<Setup> {
    let setup = |name, shards, batch, linger_ms, routed| Setup {
        name,
        options: Options {
            shards,
            max_batch: batch,
            linger: Duration::from_millis(linger_ms),
            ..Options::default()
        },
        routed,
    };
    vec![
        setup("single, 16 shards, any", 16, 1, 0, false),
        setup("single, 16 shards, routed", 16, 1, 0, true),
        setup("10 ms, 16 shards, routed", 16, 256, 10, true),
        setup("10 ms, 4 shards, any", 4, 256, 10, false),
        setup("10 ms, 4 shards, routed", 4, 256, 10, true),
        setup("50 ms, 4 shards, routed", 4, 256, 50, true),
        setup("50 ms, 1 shard, routed", 1, 256, 50, true),
    ]
}

fn run(setup: &Setup, time: Duration) {
    let server =
        Server::start(&StoreOptions::default().delay(STORE_DELAY)).expect("the stand-in starts");
    let daemons: Vec<Claims> = (0..DAEMONS)
        .map(|_| Claims::start(Client::new(&server.url(), ""), setup.options))
        .collect();
    let measurements = Arc::new(Mutex::new(Measurements {
        claim: Histogram::new(3).expect("3 digits are valid"),
        finish: Histogram::new(3).expect("3 digits are valid"),
        failed: 0,
    }));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let started = Instant::now();
    let mut due = started;
    let mut calls = Vec::new();
    while due < started + time {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let workspace = WORKSPACES[random.random_range(0..WORKSPACES.len())];
        let key = format!("key {}", calls.len());
        let daemon = if setup.routed {
            daemon_of(&shard_name(workspace, &key, setup.options.shards))
        } else {
            random.random_range(0..DAEMONS)
        };
        let (claims, measurements) = (daemons[daemon].clone(), Arc::clone(&measurements));
        calls.push(thread::spawn(move || {
            call(&claims, workspace, &key, &measurements)
        }));
        let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / CALLS_PER_SECOND;
        due += Duration::from_secs_f64(gap);
    }
    let count = calls.len();
    for call in calls {
        call.join().expect("a call does not panic");
    }
    report(setup, &server, &measurements, count, started.elapsed());
    measure_first_claim(setup, &server);
}

fn daemon_of(shard: &str) -> usize {
    let sum = xxhash_rust::xxh3::xxh3_64(shard.as_bytes());
    usize::try_from(sum % DAEMONS as u64).unwrap_or(0)
}

fn call(claims: &Claims, workspace: &str, key: &str, measurements: &Mutex<Measurements>) {
    let request = Fingerprint::new("POST", "/deposits", key.as_bytes());
    let outcome = Response {
        status: 201,
        headers: Vec::new(),
        body: Some(vec![b'x'; 200]),
    };
    let started = Instant::now();
    let claim = claims.claim(workspace, key, &request, "vm");
    let claimed = started.elapsed();
    let mut finished = None;
    if let Err(error) = &claim {
        eprintln!("claim: {error}");
    }
    if let Ok(Claim::Acquired(handle)) = claim {
        thread::sleep(REQUEST_TIME);
        let started = Instant::now();
        match claims.finish(&handle, &outcome) {
            Ok(()) => finished = Some(started.elapsed()),
            Err(error) => eprintln!("finish: {error}"),
        }
    }
    let mut measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
    match finished {
        Some(finished) => {
            measurements
                .claim
                .record(micros(claimed))
                .expect("the histogram resizes itself");
            measurements
                .finish
                .record(micros(finished))
                .expect("the histogram resizes itself");
        }
        None => measurements.failed += 1,
    }
}

/// prints the number of segments of the largest shard and the time of a new daemon's first
/// claim there
fn measure_first_claim(setup: &Setup, server: &Server) {
    let name = shard_name("a", "0", setup.options.shards);
    let client = Client::new(&server.url(), "");
    let object = client
        .get::<schema::objects::Shard>(&name)
        .expect("the stand-in responds");
    let segments = object.map_or(0, |object| object.spec.segments.len());
    let claims = Claims::start(client, setup.options);
    let request = Fingerprint::new("POST", "/deposits", b"new");
    let started = Instant::now();
    let claim = claims.claim("a", "0", &request, "new");
    let time = started.elapsed().as_millis();
    println!(
        "  {segments}, {time} ms{}",
        if claim.is_err() { ", failed" } else { "" }
    );
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn report(
    setup: &Setup,
    server: &Server,
    measurements: &Mutex<Measurements>,
    calls: usize,
    time: Duration,
) {
    let url = format!("{}/control/counts", server.url());
    let body = attohttpc::get(url)
        .send()
        .and_then(|response| response.bytes());
    let counts: schema::objects::Counts =
        serde_json::from_slice(&body.expect("the stand-in responds"))
            .expect("counts can be decoded");
    let measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
    let share = |count: u64| count as f64 / calls as f64;
    let at = |histogram: &Histogram<u64>| {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        format!("{:5.0} {:5.0} {:5.0}", ms(0.5), ms(0.95), ms(0.99))
    };
    print!(
        "{:28} {:5} {:5}  {:11.2} {:10.2} {:8.1}  {}     {}",
        setup.name,
        calls,
        measurements.failed,
        share(counts.writes),
        share(counts.reads),
        counts.bytes_in as f64 / 1000.0 / time.as_secs_f64(),
        at(&measurements.claim),
        at(&measurements.finish),
    );
}
