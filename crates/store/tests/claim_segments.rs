//! Claims that were moved to segments still decide on their keys.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use common::{client, no_faults, server, set_faults, wait_until};
use schema::objects::{Answer, Faults, Segment, Shard};
use standin::objects::Server;
use store::claim::{Claim, Claims, Fingerprint, Handle, Options, Response, shard_name};

const CALLERS: usize = 4;
const KEYS: usize = 200;
const FINISH_ATTEMPTS: usize = 3;
const HOUR_MS: u64 = 3_600_000;

fn start_claims(server: &Server, clock: fn() -> u64) -> Claims {
    let options = Options {
        shards: 1,
        clock,
        ..Options::default()
    };
    Claims::start(client(server), options)
}

fn request(key: usize) -> Fingerprint {
    Fingerprint::new("POST", "/deposits", &key.to_be_bytes())
}

fn response(key: usize) -> Response {
    // Every fiftieth body is large enough to be stored in a separate object.
    let length = if key.is_multiple_of(50) { 3000 } else { 900 };
    Response {
        status: 201,
        headers: Vec::new(),
        body: Some(format!("{key:0>length$}").into_bytes()),
    }
}

fn claim(daemon: &Claims, key: usize) -> Result<Claim, store::Error> {
    daemon.claim("shop", &key.to_string(), &request(key), "vm")
}

fn read_shard(server: &Server) -> Shard {
    let name = shard_name("shop", "0", 1);
    client(server).get::<Shard>(&name).unwrap().unwrap().spec
}

/// finishes a claim, again after an error, which a machine without processor time and an unreliable
/// store cause; under the faults of a test, the response may stay unrecorded
fn finish(daemon: &Claims, handle: &Handle, key: usize) {
    for _ in 0..FINISH_ATTEMPTS {
        match daemon.finish(handle, &response(key)) {
            Ok(()) => return,
            Err(error) => eprintln!("key {key} is not finished: {error}"),
        }
    }
}

/// every caller claims all keys, each in another order; returns the keys that ran and their claims
fn claim_all_keys(daemons: &[Claims]) -> Vec<(usize, Handle)> {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let daemon = daemons[caller % daemons.len()].clone();
        callers.push(thread::spawn(move || {
            let mut ran = Vec::new();
            for number in 0..KEYS {
                let key = (number + caller * KEYS / CALLERS) % KEYS;
                if let Ok(Claim::Acquired(handle)) = claim(&daemon, key) {
                    ran.push((key, handle.clone()));
                    finish(&daemon, &handle, key);
                }
            }
            ran
        }));
    }
    let mut ran = Vec::new();
    for caller in callers {
        ran.extend(caller.join().unwrap());
    }
    ran
}

static FIXED_TIME_MS: AtomicU64 = AtomicU64::new(HOUR_MS);

fn fixed_time_ms() -> u64 {
    FIXED_TIME_MS.load(Ordering::SeqCst)
}

#[test]
fn running_and_new_daemons_find_moved_claims() {
    let server = server();
    let daemons = [
        start_claims(&server, fixed_time_ms),
        start_claims(&server, fixed_time_ms),
    ];
    let ran = claim_all_keys(&daemons);
    assert_eq!(ran.len(), KEYS);
    let shard = read_shard(&server);
    assert!(
        !shard.segments.is_empty(),
        "no segments, {} claims in the shard",
        shard.claims.len()
    );
    let fresh = start_claims(&server, fixed_time_ms);
    // Only every fifth key: reading a segment takes tens of milliseconds in a debug build.
    for (key, handle) in ran.into_iter().step_by(5) {
        for daemon in [&daemons[0], &fresh] {
            let repeat = claim(daemon, key).unwrap();
            assert!(
                repeat == Claim::Completed(response(key)),
                "key {key}: {repeat:?}"
            );
        }
        if key % 7 == 1 {
            let other = fresh.claim("shop", &key.to_string(), &request(KEYS), "vm");
            assert_eq!(other.unwrap(), Claim::Mismatch);
            fresh.finish(&handle, &response(key)).unwrap();
            fresh.release(&handle).unwrap();
            assert_eq!(claim(&fresh, key).unwrap(), Claim::Completed(response(key)));
        }
    }
}

#[test]
fn a_request_runs_at_most_once_while_claims_are_moved_under_faults() {
    for seed in [5] {
        let server = server();
        let faults = Faults {
            lose_percent: Some(15),
            seed: Some(seed),
            stale_reads: Some(60),
            ..no_faults()
        };
        set_faults(&server, &faults);
        let daemons: Vec<Claims> = (0..3)
            .map(|_| start_claims(&server, fixed_time_ms))
            .collect();
        let mut ran: Vec<usize> = Vec::new();
        for (key, _) in claim_all_keys(&daemons) {
            ran.push(key);
        }
        let all = ran.len();
        ran.sort_unstable();
        ran.dedup();
        assert_eq!(ran.len(), all, "seed {seed}: a key ran twice");
        assert!(all > KEYS / 2, "seed {seed}: only {all} ran");
        assert!(!read_shard(&server).segments.is_empty());
    }
}

static TEST_TIME_MS: AtomicU64 = AtomicU64::new(HOUR_MS);

fn test_time_ms() -> u64 {
    TEST_TIME_MS.load(Ordering::SeqCst)
}

#[test]
fn expired_segments_are_removed_with_their_responses() {
    let server = server();
    let daemon = start_claims(&server, test_time_ms);
    claim_all_keys(std::slice::from_ref(&daemon));
    let before = read_shard(&server).segments.len();
    assert!(before > 0);
    TEST_TIME_MS.fetch_add(HOUR_MS, Ordering::SeqCst);
    assert!(matches!(claim(&daemon, 1).unwrap(), Claim::Completed(_)));
    assert_eq!(read_shard(&server).segments.len(), before);
    TEST_TIME_MS.fetch_add(2 * HOUR_MS, Ordering::SeqCst);
    assert!(
        matches!(claim(&daemon, 1).unwrap(), Claim::Acquired(_)),
        "the claim has expired"
    );
    let shard = read_shard(&server);
    assert_eq!((shard.claims.len(), shard.segments.len()), (1, 0));
    let client = client(&server);
    wait_until("segments and responses are removed", || {
        let segments = client.list::<Segment>().unwrap().items.len();
        segments + client.list::<Answer>().unwrap().items.len() == 0
    });
}
