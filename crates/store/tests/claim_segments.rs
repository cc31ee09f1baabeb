//! Claims moved out of a shard are still claims.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use common::{client, no_faults, server, set, wait_until};
use schema::objects::{Answer, Faults, Segment, Shard};
use standin::objects::Server;
use store::claim::{Claim, Claims, Fingerprint, Held, Options, Outcome, shard};

const CALLERS: usize = 4;
const KEYS: usize = 200;
const HOUR_MS: u64 = 3_600_000;

fn claims(server: &Server, clock: fn() -> u64) -> Claims {
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

fn outcome(key: usize) -> Outcome {
    // Every fiftieth is long enough for an object of its own.
    let length = if key.is_multiple_of(50) { 3000 } else { 900 };
    Outcome {
        status: 201,
        headers: Vec::new(),
        body: Some(format!("{key:0>length$}").into_bytes()),
    }
}

fn claim(daemon: &Claims, key: usize) -> Result<Claim, store::Error> {
    daemon.claim("shop", &key.to_string(), &request(key), "vm")
}

fn hot(server: &Server) -> Shard {
    let name = shard("shop", "0", 1);
    client(server).get::<Shard>(&name).unwrap().unwrap().spec
}

/// every caller tries all keys, each from another place; returns what ran, with its claim
fn call_all(daemons: &[Claims]) -> Vec<(usize, Held)> {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let daemon = daemons[caller % daemons.len()].clone();
        callers.push(thread::spawn(move || {
            let mut ran = Vec::new();
            for number in 0..KEYS {
                let key = (number + caller * KEYS / CALLERS) % KEYS;
                if let Ok(Claim::Mine(held)) = claim(&daemon, key) {
                    ran.push((key, held.clone()));
                    drop(daemon.finish(&held, &outcome(key)));
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

static NO_CLOCK: AtomicU64 = AtomicU64::new(HOUR_MS);

fn still_clock() -> u64 {
    NO_CLOCK.load(Ordering::SeqCst)
}

#[test]
fn moved_claims_are_found_by_daemons_old_and_new() {
    let server = server();
    let daemons = [claims(&server, still_clock), claims(&server, still_clock)];
    let ran = call_all(&daemons);
    assert_eq!(ran.len(), KEYS);
    let shard = hot(&server);
    assert!(
        !shard.segments.is_empty(),
        "{} in the shard",
        shard.claims.len()
    );
    let fresh = claims(&server, still_clock);
    // Every fifth: reading a segment takes tens of milliseconds without optimisation.
    for (key, held) in ran.into_iter().step_by(5) {
        for daemon in [&daemons[0], &fresh] {
            let repeat = claim(daemon, key).unwrap();
            assert!(repeat == Claim::Done(outcome(key)), "key {key}");
        }
        if key % 7 == 1 {
            let other = fresh.claim("shop", &key.to_string(), &request(KEYS), "vm");
            assert_eq!(other.unwrap(), Claim::Mismatch);
            fresh.finish(&held, &outcome(key)).unwrap();
            fresh.release(&held).unwrap();
            assert_eq!(claim(&fresh, key).unwrap(), Claim::Done(outcome(key)));
        }
    }
}

#[test]
fn a_request_runs_at_most_once_while_claims_move_under_faults() {
    for seed in [5] {
        let server = server();
        let faults = Faults {
            lose_percent: Some(15),
            seed: Some(seed),
            stale_reads: Some(60),
            ..no_faults()
        };
        set(&server, &faults);
        let daemons: Vec<Claims> = (0..3).map(|_| claims(&server, still_clock)).collect();
        let mut ran: Vec<usize> = Vec::new();
        for (key, _) in call_all(&daemons) {
            ran.push(key);
        }
        let all = ran.len();
        ran.sort_unstable();
        ran.dedup();
        assert_eq!(ran.len(), all, "seed {seed}: a key ran twice");
        assert!(all > KEYS / 2, "seed {seed}: only {all} ran");
        assert!(!hot(&server).segments.is_empty());
    }
}

static CLOCK: AtomicU64 = AtomicU64::new(HOUR_MS);

fn moving_clock() -> u64 {
    CLOCK.load(Ordering::SeqCst)
}

#[test]
fn old_segments_leave_with_the_answers_they_name() {
    let server = server();
    let daemon = claims(&server, moving_clock);
    call_all(std::slice::from_ref(&daemon));
    let before = hot(&server).segments.len();
    assert!(before > 0);
    CLOCK.fetch_add(HOUR_MS, Ordering::SeqCst);
    assert!(matches!(claim(&daemon, 1).unwrap(), Claim::Done(_)));
    assert_eq!(hot(&server).segments.len(), before);
    CLOCK.fetch_add(2 * HOUR_MS, Ordering::SeqCst);
    assert!(
        matches!(claim(&daemon, 1).unwrap(), Claim::Mine(_)),
        "forgotten"
    );
    let shard = hot(&server);
    assert_eq!((shard.claims.len(), shard.segments.len()), (1, 0));
    let client = client(&server);
    wait_until("segments and answers are removed", || {
        let segments = client.list::<Segment>().unwrap().items.len();
        segments + client.list::<Answer>().unwrap().items.len() == 0
    });
}
