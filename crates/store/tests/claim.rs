//! Claims of several daemons at once, with and without faults of the store.

mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use common::{client, counts, no_faults, server, set_faults, wait_until};
use schema::failure::Verdict;
use schema::objects::{Faults, Header, Shard};
use standin::objects::Server;
use store::claim::{Claim, Claims, Fingerprint, Handle, Options, Response};
use store::{Error, Timeouts};

const HOUR_MS: u64 = 3_600_000;

fn start_claims(server: &Server) -> Claims {
    Claims::start(client(server), Options::default())
}

fn request() -> Fingerprint {
    Fingerprint::new("POST", "/deposits", b"{\"amount\":10}")
}

fn response(body: &[u8]) -> Response {
    let header = Header {
        name: "Content-Type".to_owned(),
        value: "application/json".to_owned(),
    };
    Response {
        status: 201,
        headers: vec![header],
        body: Some(body.to_vec()),
    }
}

fn acquired(claim: Claim) -> Handle {
    match claim {
        Claim::Acquired(handle) => handle,
        other => panic!("claim not acquired: {other:?}"),
    }
}

#[test]
fn a_repeat_gets_the_first_response() {
    let server = server();
    let (first, second) = (start_claims(&server), start_claims(&server));
    let bodies = [
        b"{}".to_vec(),
        vec![0xff, 0, 1],
        vec![b'x'; 100_000],
        Vec::new(),
    ];
    for (number, body) in bodies.iter().enumerate() {
        let key = format!("key {number}");
        let handle = acquired(first.claim("shop", &key, &request(), "vm-1").unwrap());
        let in_progress = second.claim("shop", &key, &request(), "vm-2").unwrap();
        let owner = "vm-1".to_owned();
        assert_eq!(in_progress, Claim::InProgress { owner });
        first.finish(&handle, &response(body)).unwrap();
        first.finish(&handle, &response(body)).unwrap();
        first.release(&handle).unwrap();
        for daemon in [&first, &second] {
            let done = daemon.claim("shop", &key, &request(), "vm-2").unwrap();
            assert_eq!(done, Claim::Completed(response(body)));
        }
    }
}

#[test]
fn a_response_too_large_to_store_is_returned_without_a_body() {
    let server = server();
    let claims = start_claims(&server);
    let handle = acquired(claims.claim("shop", "k", &request(), "vm-1").unwrap());
    claims
        .finish(&handle, &response(&vec![b'x'; 600_000]))
        .unwrap();
    let done = claims.claim("shop", "k", &request(), "vm-1").unwrap();
    let without_body = Response {
        body: None,
        ..response(b"")
    };
    assert_eq!(done, Claim::Completed(without_body));
}

#[test]
fn a_key_belongs_to_one_request_and_one_workspace() {
    let server = server();
    let (first, second) = (start_claims(&server), start_claims(&server));
    acquired(first.claim("shop", "k", &request(), "vm-1").unwrap());
    let other = Fingerprint::new("POST", "/deposits", b"{\"amount\":20}");
    let mismatch = second.claim("shop", "k", &other, "vm-2").unwrap();
    assert_eq!(mismatch, Claim::Mismatch);
    acquired(second.claim("archive", "k", &other, "vm-2").unwrap());
}

#[test]
fn a_released_key_can_be_claimed_and_a_stopped_owner_keeps_its_claim() {
    let server = server();
    let (first, second) = (start_claims(&server), start_claims(&server));
    let handle = acquired(first.claim("shop", "k", &request(), "vm-1").unwrap());
    first.release(&handle).unwrap();
    first.release(&handle).unwrap();
    let again = acquired(second.claim("shop", "k", &request(), "vm-2").unwrap());
    let late = first.finish(&handle, &response(b"{}"));
    assert_eq!(late, Err(Error::NotFound));
    first.release(&handle).unwrap();
    drop(second);
    let third = start_claims(&server)
        .claim("shop", "k", &request(), "vm-3")
        .unwrap();
    let owner = "vm-2".to_owned();
    assert_eq!(third, Claim::InProgress { owner }, "{again:?}");
}

#[test]
fn exactly_one_of_concurrent_callers_acquires_the_key() {
    let server = server();
    let daemons: Vec<Claims> = (0..3).map(|_| start_claims(&server)).collect();
    for round in 0..20 {
        let barrier = Arc::new(Barrier::new(CALLERS));
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            let daemon = daemons[caller % daemons.len()].clone();
            let barrier = Arc::clone(&barrier);
            callers.push(thread::spawn(move || {
                barrier.wait();
                let key = format!("key {round}");
                daemon.claim("shop", &key, &request(), "vm").unwrap()
            }));
        }
        let mut won = 0;
        for caller in callers {
            match caller.join().unwrap() {
                Claim::Acquired(_) => won += 1,
                Claim::InProgress { .. } => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(won, 1, "round {round}");
    }
}

/// results of all callers
struct Results {
    /// number of runs by key
    runs: HashMap<usize, u32>,
    errors: u32,
}

const CALLERS: usize = 8;
const KEYS: usize = 12;

/// claims every key once and runs the requests of acquired ones; the first caller releases
/// some of its claims instead
fn claim_all_keys(daemon: &Claims, caller: usize) -> (Vec<usize>, u32) {
    let (mut ran, mut errors) = (Vec::new(), 0);
    for number in 0..KEYS {
        let key = (number + caller / 2) % KEYS;
        match daemon.claim("shop", &key.to_string(), &request(), "vm") {
            Ok(Claim::Acquired(handle)) if caller == 0 && number % 3 == 0 => {
                drop(daemon.release(&handle));
            }
            Ok(Claim::Acquired(handle)) => {
                ran.push(key);
                drop(daemon.finish(&handle, &response(b"{}")));
            }
            Ok(_) => {}
            Err(error) => {
                assert_eq!(error.verdict(), Verdict::NotRun, "{error}");
                errors += 1;
            }
        }
    }
    (ran, errors)
}

fn run_under_faults(server: &Server, daemons: &[Claims], faults: &Faults) -> Results {
    set_faults(server, faults);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let daemon = daemons[caller % daemons.len()].clone();
        callers.push(thread::spawn(move || claim_all_keys(&daemon, caller)));
    }
    let mut results = Results {
        runs: HashMap::new(),
        errors: 0,
    };
    for caller in callers {
        let (ran, errors) = caller.join().unwrap();
        for key in ran {
            *results.runs.entry(key).or_default() += 1;
        }
        results.errors += errors;
    }
    let no_more_faults = Faults {
        lose_percent: Some(0),
        stale_reads: Some(0),
        delay_ms: Some(0),
        ..no_faults()
    };
    set_faults(server, &no_more_faults);
    results
}

/// checks that every key whose request did not run can be claimed, because claims whose
/// callers got an error are removed
fn check_unused_keys(daemon: &Claims, results: &Results) {
    for key in (0..KEYS).filter(|key| !results.runs.contains_key(key)) {
        wait_until("an abandoned key can be claimed", || {
            let claim = daemon.claim("shop", &key.to_string(), &request(), "vm");
            matches!(claim, Ok(Claim::Acquired(_)))
        });
    }
}

#[test]
fn a_request_runs_at_most_once_under_faults() {
    for seed in 0..12 {
        let server = server();
        let daemons: Vec<Claims> = (0..3).map(|_| start_claims(&server)).collect();
        let faults = Faults {
            lose_percent: Some(30),
            seed: Some(seed),
            stale_reads: Some(40),
            delay_ms: Some(2),
            ..no_faults()
        };
        let results = run_under_faults(&server, &daemons, &faults);
        for (key, runs) in &results.runs {
            assert_eq!(*runs, 1, "seed {seed}, key {key}");
        }
        let ran = results.runs.len();
        assert!(ran > KEYS / 2, "seed {seed}: {} errors", results.errors);
        check_unused_keys(&daemons[0], &results);
    }
}

#[test]
fn lost_responses_lose_no_claim_and_no_stored_response() {
    let server = server();
    let (first, second) = (start_claims(&server), start_claims(&server));
    for number in 0..5 {
        let key = format!("key {number}");
        set_faults(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        let handle = acquired(first.claim("shop", &key, &request(), "vm-1").unwrap());
        set_faults(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        first.finish(&handle, &response(b"{}")).unwrap();
        let done = second.claim("shop", &key, &request(), "vm-2").unwrap();
        assert_eq!(done, Claim::Completed(response(b"{}")));
    }
}

#[test]
fn an_outage_is_reported_at_once() {
    let server = server();
    let claims = start_claims(&server);
    let handle = acquired(claims.claim("shop", "before", &request(), "vm-1").unwrap());
    set_faults(
        &server,
        &Faults {
            outage: Some(true),
            ..no_faults()
        },
    );
    for number in 0..8 {
        let started = Instant::now();
        let key = format!("key {number}");
        let error = claims.claim("shop", &key, &request(), "vm-1").unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    assert!(claims.finish(&handle, &response(b"{}")).is_err());
    set_faults(
        &server,
        &Faults {
            outage: Some(false),
            ..no_faults()
        },
    );
    claims.finish(&handle, &response(b"{}")).unwrap();
    for number in 0..8 {
        let key = format!("key {number}");
        wait_until("the key can be claimed", || {
            matches!(
                claims.claim("shop", &key, &request(), "vm-1"),
                Ok(Claim::Acquired(_))
            )
        });
    }
}

#[test]
fn a_claim_times_out_if_the_store_does_not_respond() {
    let server = server();
    set_faults(
        &server,
        &Faults {
            delay_ms: Some(60_000),
            ..no_faults()
        },
    );
    let timeouts = Timeouts {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(1),
    };
    let claims = Claims::start(client(&server).timeouts(timeouts), Options::default());
    let started = Instant::now();
    let error = claims.claim("shop", "k", &request(), "vm-1").unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert!(started.elapsed() < Duration::from_secs(3));
}

static TEST_TIME_MS: AtomicU64 = AtomicU64::new(30 * HOUR_MS);

fn test_time_ms() -> u64 {
    TEST_TIME_MS.load(Ordering::SeqCst)
}

#[test]
fn claims_expire_after_their_retention() {
    let server = server();
    let client = client(&server);
    let options = Options {
        shards: 1,
        clock: test_time_ms,
        ..Options::default()
    };
    let claims = Claims::start(client.clone(), options);
    let finished = acquired(claims.claim("shop", "finished", &request(), "vm").unwrap());
    claims.finish(&finished, &response(&[b'x'; 5000])).unwrap();
    acquired(
        claims
            .claim("shop", "unfinished", &request(), "vm")
            .unwrap(),
    );
    let check_claim_count = |keys: usize| {
        let shard = client.get::<Shard>(&finished.shard).unwrap().unwrap();
        assert_eq!(shard.spec.claims.len(), keys);
    };
    let add = |key: &str| acquired(claims.claim("shop", key, &request(), "vm").unwrap());
    TEST_TIME_MS.fetch_add(HOUR_MS, Ordering::SeqCst);
    add("an hour later");
    check_claim_count(3);
    let repeat = claims.claim("shop", "finished", &request(), "vm").unwrap();
    assert!(matches!(repeat, Claim::Completed(_)));
    TEST_TIME_MS.fetch_add(2 * HOUR_MS, Ordering::SeqCst);
    add("three hours later");
    check_claim_count(3);
    let repeat = claims
        .claim("shop", "unfinished", &request(), "vm")
        .unwrap();
    assert!(matches!(repeat, Claim::InProgress { .. }));
    TEST_TIME_MS.fetch_add(22 * HOUR_MS, Ordering::SeqCst);
    add("a day later");
    check_claim_count(2 + 1);
}

#[test]
fn a_full_shard_rejects_claims_and_keeps_existing_ones() {
    let server = server();
    let options = Options {
        shards: 1,
        ..Options::default()
    };
    let claims = Claims::start(client(&server), options);
    let mut handles = Vec::new();
    let full = loop {
        let key = format!("key {}", handles.len());
        let owner = "o".repeat(60_000);
        match claims.claim("shop", &key, &request(), &owner) {
            Ok(claim) => handles.push(acquired(claim)),
            Err(error) => break error,
        }
    };
    assert_eq!(full.verdict(), Verdict::NotRun);
    assert!(handles.len() > 10);
    for handle in &handles {
        claims.finish(handle, &response(b"{}")).unwrap();
    }
}

#[test]
fn concurrent_callers_share_updates() {
    const CALLS: u64 = 64;
    let server = server();
    set_faults(
        &server,
        &Faults {
            delay_ms: Some(5),
            ..no_faults()
        },
    );
    let options = Options {
        shards: 1,
        ..Options::default()
    };
    let claims = Claims::start(client(&server), options);
    let mut callers = Vec::new();
    for caller in 0..CALLS {
        let claims = claims.clone();
        callers.push(thread::spawn(move || {
            let key = format!("key {caller}");
            acquired(claims.claim("shop", &key, &request(), "vm").unwrap())
        }));
    }
    for caller in callers {
        caller.join().unwrap();
    }
    let writes = counts(&server).writes;
    assert!(writes <= CALLS / 4, "{writes} writes");
}
