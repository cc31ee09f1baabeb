//! Keys claimed by several daemons at once, under faults.

mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use common::{client, counts, no_faults, server, set, wait_until};
use schema::failure::Verdict;
use schema::objects::{Faults, Header, Shard};
use standin::objects::Server;
use store::claim::{Claim, Claims, Fingerprint, Held, Options, Outcome};
use store::{Error, Limits};

const HOUR_MS: u64 = 3_600_000;

fn claims(server: &Server) -> Claims {
    Claims::start(client(server), Options::default())
}

fn booking() -> Fingerprint {
    Fingerprint::new("POST", "/deposits", b"{\"amount\":10}")
}

fn outcome(body: &[u8]) -> Outcome {
    let header = Header {
        name: "Content-Type".to_owned(),
        value: "application/json".to_owned(),
    };
    Outcome {
        status: 201,
        headers: vec![header],
        body: Some(body.to_vec()),
    }
}

fn mine(claim: Claim) -> Held {
    match claim {
        Claim::Mine(held) => held,
        other => panic!("not claimed: {other:?}"),
    }
}

#[test]
fn a_repeat_gets_the_answer_of_the_first() {
    let server = server();
    let (first, second) = (claims(&server), claims(&server));
    let bodies = [
        b"{}".to_vec(),
        vec![0xff, 0, 1],
        vec![b'x'; 100_000],
        Vec::new(),
    ];
    for (number, body) in bodies.iter().enumerate() {
        let key = format!("key {number}");
        let held = mine(first.claim("shop", &key, &booking(), "vm-1").unwrap());
        let busy = second.claim("shop", &key, &booking(), "vm-2").unwrap();
        let owner = "vm-1".to_owned();
        assert_eq!(busy, Claim::Busy { owner });
        first.finish(&held, &outcome(body)).unwrap();
        first.finish(&held, &outcome(body)).unwrap();
        first.release(&held).unwrap();
        for daemon in [&first, &second] {
            let done = daemon.claim("shop", &key, &booking(), "vm-2").unwrap();
            assert_eq!(done, Claim::Done(outcome(body)));
        }
    }
}

#[test]
fn an_answer_too_large_to_keep_is_done_without_a_body() {
    let server = server();
    let claims = claims(&server);
    let held = mine(claims.claim("shop", "k", &booking(), "vm-1").unwrap());
    claims
        .finish(&held, &outcome(&vec![b'x'; 600_000]))
        .unwrap();
    let done = claims.claim("shop", "k", &booking(), "vm-1").unwrap();
    let bare = Outcome {
        body: None,
        ..outcome(b"")
    };
    assert_eq!(done, Claim::Done(bare));
}

#[test]
fn a_key_belongs_to_one_request_and_one_workspace() {
    let server = server();
    let (first, second) = (claims(&server), claims(&server));
    mine(first.claim("shop", "k", &booking(), "vm-1").unwrap());
    let other = Fingerprint::new("POST", "/deposits", b"{\"amount\":20}");
    let mismatch = second.claim("shop", "k", &other, "vm-2").unwrap();
    assert_eq!(mismatch, Claim::Mismatch);
    mine(second.claim("archive", "k", &other, "vm-2").unwrap());
}

#[test]
fn a_released_key_is_free_and_a_dead_owner_is_never_replaced() {
    let server = server();
    let (first, second) = (claims(&server), claims(&server));
    let held = mine(first.claim("shop", "k", &booking(), "vm-1").unwrap());
    first.release(&held).unwrap();
    first.release(&held).unwrap();
    let again = mine(second.claim("shop", "k", &booking(), "vm-2").unwrap());
    let late = first.finish(&held, &outcome(b"{}"));
    assert_eq!(late, Err(Error::Missing));
    first.release(&held).unwrap();
    drop(second);
    let third = claims(&server)
        .claim("shop", "k", &booking(), "vm-3")
        .unwrap();
    let owner = "vm-2".to_owned();
    assert_eq!(third, Claim::Busy { owner }, "{again:?}");
}

#[test]
fn of_callers_that_race_exactly_one_gets_the_key() {
    let server = server();
    let daemons: Vec<Claims> = (0..3).map(|_| claims(&server)).collect();
    for round in 0..20 {
        let barrier = Arc::new(Barrier::new(CALLERS));
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            let daemon = daemons[caller % daemons.len()].clone();
            let barrier = Arc::clone(&barrier);
            callers.push(thread::spawn(move || {
                barrier.wait();
                let key = format!("key {round}");
                daemon.claim("shop", &key, &booking(), "vm").unwrap()
            }));
        }
        let mut won = 0;
        for caller in callers {
            match caller.join().unwrap() {
                Claim::Mine(_) => won += 1,
                Claim::Busy { .. } => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(won, 1, "round {round}");
    }
}

/// what callers of all daemons together did under faults
struct Trial {
    runs: HashMap<usize, u32>,
    errors: u32,
}

const CALLERS: usize = 8;
const KEYS: usize = 12;

/// claims every key once and runs what it gets; the first caller releases some instead
fn call_all(daemon: &Claims, caller: usize) -> (Vec<usize>, u32) {
    let (mut ran, mut errors) = (Vec::new(), 0);
    for number in 0..KEYS {
        let key = (number + caller / 2) % KEYS;
        match daemon.claim("shop", &key.to_string(), &booking(), "vm") {
            Ok(Claim::Mine(held)) if caller == 0 && number % 3 == 0 => {
                drop(daemon.release(&held));
            }
            Ok(Claim::Mine(held)) => {
                ran.push(key);
                drop(daemon.finish(&held, &outcome(b"{}")));
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

fn run_under_faults(server: &Server, daemons: &[Claims], faults: &Faults) -> Trial {
    set(server, faults);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let daemon = daemons[caller % daemons.len()].clone();
        callers.push(thread::spawn(move || call_all(&daemon, caller)));
    }
    let mut trial = Trial {
        runs: HashMap::new(),
        errors: 0,
    };
    for caller in callers {
        let (ran, errors) = caller.join().unwrap();
        for key in ran {
            *trial.runs.entry(key).or_default() += 1;
        }
        trial.errors += errors;
    }
    let calm = Faults {
        lose_percent: Some(0),
        stale_reads: Some(0),
        delay_ms: Some(0),
        ..no_faults()
    };
    set(server, &calm);
    trial
}

/// claims that nobody waited for are taken out, so every key that did not run can run
fn check_free(daemon: &Claims, trial: &Trial) {
    for key in (0..KEYS).filter(|key| !trial.runs.contains_key(key)) {
        wait_until("an abandoned key is free", || {
            let claim = daemon.claim("shop", &key.to_string(), &booking(), "vm");
            matches!(claim, Ok(Claim::Mine(_)))
        });
    }
}

#[test]
fn a_request_runs_at_most_once_under_faults() {
    for seed in 0..12 {
        let server = server();
        let daemons: Vec<Claims> = (0..3).map(|_| claims(&server)).collect();
        let faults = Faults {
            lose_percent: Some(30),
            seed: Some(seed),
            stale_reads: Some(40),
            delay_ms: Some(2),
            ..no_faults()
        };
        let trial = run_under_faults(&server, &daemons, &faults);
        for (key, runs) in &trial.runs {
            assert_eq!(*runs, 1, "seed {seed}, key {key}");
        }
        let ran = trial.runs.len();
        assert!(ran > KEYS / 2, "seed {seed}: {} errors", trial.errors);
        check_free(&daemons[0], &trial);
    }
}

#[test]
fn lost_answers_cost_no_claim_and_no_outcome() {
    let server = server();
    let (first, second) = (claims(&server), claims(&server));
    for number in 0..5 {
        let key = format!("key {number}");
        set(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        let held = mine(first.claim("shop", &key, &booking(), "vm-1").unwrap());
        set(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        first.finish(&held, &outcome(b"{}")).unwrap();
        let done = second.claim("shop", &key, &booking(), "vm-2").unwrap();
        assert_eq!(done, Claim::Done(outcome(b"{}")));
    }
}

#[test]
fn an_outage_is_told_at_once() {
    let server = server();
    let claims = claims(&server);
    let held = mine(claims.claim("shop", "before", &booking(), "vm-1").unwrap());
    set(
        &server,
        &Faults {
            outage: Some(true),
            ..no_faults()
        },
    );
    for number in 0..8 {
        let begun = Instant::now();
        let key = format!("key {number}");
        let error = claims.claim("shop", &key, &booking(), "vm-1").unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun);
        assert!(begun.elapsed() < Duration::from_secs(1));
    }
    assert!(claims.finish(&held, &outcome(b"{}")).is_err());
    set(
        &server,
        &Faults {
            outage: Some(false),
            ..no_faults()
        },
    );
    claims.finish(&held, &outcome(b"{}")).unwrap();
    for number in 0..8 {
        let key = format!("key {number}");
        wait_until("the key is free", || {
            matches!(
                claims.claim("shop", &key, &booking(), "vm-1"),
                Ok(Claim::Mine(_))
            )
        });
    }
}

#[test]
fn a_silent_store_ends_in_time() {
    let server = server();
    set(
        &server,
        &Faults {
            delay_ms: Some(60_000),
            ..no_faults()
        },
    );
    let limits = Limits {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(1),
    };
    let claims = Claims::start(client(&server).limits(limits), Options::default());
    let begun = Instant::now();
    let error = claims.claim("shop", "k", &booking(), "vm-1").unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert!(begun.elapsed() < Duration::from_secs(3));
}

static CLOCK: AtomicU64 = AtomicU64::new(30 * HOUR_MS);

fn test_clock() -> u64 {
    CLOCK.load(Ordering::SeqCst)
}

#[test]
fn old_claims_are_forgotten_and_young_ones_are_not() {
    let server = server();
    let client = client(&server);
    let options = Options {
        shards: 1,
        clock: test_clock,
        ..Options::default()
    };
    let claims = Claims::start(client.clone(), options);
    let finished = mine(claims.claim("shop", "finished", &booking(), "vm").unwrap());
    claims.finish(&finished, &outcome(&[b'x'; 5000])).unwrap();
    mine(claims.claim("shop", "silent", &booking(), "vm").unwrap());
    let kept = |keys: usize| {
        let shard = client.get::<Shard>(&finished.shard).unwrap().unwrap();
        assert_eq!(shard.spec.claims.len(), keys);
    };
    let add = |key: &str| mine(claims.claim("shop", key, &booking(), "vm").unwrap());
    CLOCK.fetch_add(HOUR_MS, Ordering::SeqCst);
    add("an hour later");
    kept(3);
    let repeat = claims.claim("shop", "finished", &booking(), "vm").unwrap();
    assert!(matches!(repeat, Claim::Done(_)));
    CLOCK.fetch_add(2 * HOUR_MS, Ordering::SeqCst);
    add("three hours later");
    kept(3);
    let repeat = claims.claim("shop", "silent", &booking(), "vm").unwrap();
    assert!(matches!(repeat, Claim::Busy { .. }));
    CLOCK.fetch_add(22 * HOUR_MS, Ordering::SeqCst);
    add("a day later");
    kept(2 + 1);
}

#[test]
fn a_full_shard_takes_no_more_and_forgets_nothing() {
    let server = server();
    let options = Options {
        shards: 1,
        ..Options::default()
    };
    let claims = Claims::start(client(&server), options);
    let mut held = Vec::new();
    let full = loop {
        let key = format!("key {}", held.len());
        let owner = "o".repeat(60_000);
        match claims.claim("shop", &key, &booking(), &owner) {
            Ok(claim) => held.push(mine(claim)),
            Err(error) => break error,
        }
    };
    assert_eq!(full.verdict(), Verdict::NotRun);
    assert!(held.len() > 10);
    for one in &held {
        claims.finish(one, &outcome(b"{}")).unwrap();
    }
}

#[test]
fn callers_of_a_moment_share_updates() {
    const TOGETHER: u64 = 64;
    let server = server();
    set(
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
    for caller in 0..TOGETHER {
        let claims = claims.clone();
        callers.push(thread::spawn(move || {
            let key = format!("key {caller}");
            mine(claims.claim("shop", &key, &booking(), "vm").unwrap())
        }));
    }
    for caller in callers {
        caller.join().unwrap();
    }
    let writes = counts(&server).writes;
    assert!(writes <= TOGETHER / 4, "{writes} writes");
}
