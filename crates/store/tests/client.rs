//! Calls to the object API and the verdicts on their failures.

mod common;

use std::collections::HashMap;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::{client, counts, no_faults, server, set};
use schema::failure::Verdict;
use schema::objects::{Answer, Encoding, Faults, Lease, Shard};
use standin::objects::{Options, Server};
use store::{Client, Error, Object, Update, create_settled, update_settled};

const WATCH: Duration = Duration::from_secs(5);

fn lease(nonce: &str) -> Lease {
    Lease {
        holder: "a".to_owned(),
        nonce: nonce.to_owned(),
        fence: 1,
        ttl_ms: 1000,
    }
}

#[test]
fn updates_are_conditional() {
    let server = server();
    let client = client(&server);
    let mut object = Object::new("x", lease("1"));
    assert_eq!(client.get::<Lease>("x"), Ok(None));
    object.version = client.create(&object).unwrap();
    assert_eq!(client.create(&object), Err(Error::Exists));
    let newer = client.update(&object).unwrap();
    assert!(newer > object.version);
    let conflict = client.update(&object).unwrap_err();
    assert_eq!(
        (conflict.verdict(), conflict),
        (Verdict::NotRun, Error::Conflict)
    );
    let list = client.list::<Lease>().unwrap();
    assert_eq!((list.version, list.items[0].version), (newer, newer));
    assert_eq!(client.delete::<Lease>("x", Some(1)), Err(Error::Conflict));
    assert_eq!(client.delete::<Lease>("x", Some(newer)), Ok(()));
    assert_eq!(client.update(&object), Err(Error::Missing));
}

#[test]
fn merge_changes_entries_only() {
    let server = server();
    let client = client(&server);
    let shard = Shard {
        claims: HashMap::new(),
        segments: Vec::new(),
    };
    let base = client.create(&Object::new("s", shard)).unwrap();
    let claim = serde_json::json!({"request": "r", "owner": "o", "nonce": "n", "at_ms": 1});
    let patch = serde_json::json!({"claims": {"a": claim, "b": claim}});
    let second = client.merge::<Shard>("s", base, &patch).unwrap();
    let patch = serde_json::json!({"claims": {"a": null}});
    assert_eq!(
        client.merge::<Shard>("s", base, &patch),
        Err(Error::Conflict)
    );
    client.merge::<Shard>("s", second, &patch).unwrap();
    let shard = client.get::<Shard>("s").unwrap().unwrap();
    let keys: Vec<&String> = shard.spec.claims.keys().collect();
    assert_eq!(keys, ["b"]);
}

#[test]
fn verdicts_are_exact() {
    let server = server();
    let reachable = client(&server);
    let object = Object::new("x", lease("1"));

    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let refused = Client::new(&format!("http://{closed}"), "").create(&object);
    assert!(matches!(refused, Err(Error::Unreachable(_))), "{refused:?}");
    assert_eq!(refused.unwrap_err().verdict(), Verdict::NotRun);

    let lose = Faults {
        lose_answers: Some(1),
        ..no_faults()
    };
    set(&server, &lose);
    let lost = reachable.create(&object).unwrap_err();
    assert_eq!(lost.verdict(), Verdict::MayHaveRun);
    assert!(reachable.get::<Lease>("x").unwrap().is_some());

    set(
        &server,
        &Faults {
            outage: Some(true),
            ..no_faults()
        },
    );
    let failed = reachable.create(&object).unwrap_err();
    assert_eq!(failed.verdict(), Verdict::MayHaveRun);
    let read = reachable.get::<Lease>("x").unwrap_err();
    assert_eq!(read.verdict(), Verdict::NotRun);
    set(
        &server,
        &Faults {
            outage: Some(false),
            ..no_faults()
        },
    );

    let large = Answer {
        status: 200,
        headers: Vec::new(),
        encoding: Encoding::Text,
        body: Some("x".repeat(2 << 20)),
        apart: None,
    };
    let large = reachable.create(&Object::new("l", large)).unwrap_err();
    assert!(matches!(large, Error::TooLarge(_)));
    assert_eq!(large.verdict(), Verdict::NotRun);
}

#[test]
fn a_silent_server_is_given_up_on() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let limits = store::Limits {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(1),
    };
    let client = Client::new(&format!("http://{address}"), "").limits(limits);
    let begun = Instant::now();
    let error = client.create(&Object::new("x", lease("1"))).unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert!(begun.elapsed() < Duration::from_secs(3));
}

#[test]
fn limits_and_tokens_refuse_before_anything_runs() {
    let options = Options::default().writes_per_second(1).token("secret");
    let server = Server::start(&options).unwrap();
    let object = Object::new("x", lease("1"));
    let wrong = Client::new(&server.url(), "other")
        .create(&object)
        .unwrap_err();
    assert!(matches!(wrong, Error::Refused { code: 401, .. }));
    let client = Client::new(&server.url(), "secret");
    let limited = client.create(&object).unwrap_err();
    assert_eq!(
        (limited.verdict(), limited),
        (Verdict::NotRun, Error::Limited)
    );
    assert_eq!(client.get::<Lease>("x"), Ok(None));
}

#[test]
fn a_watch_brings_changes_as_they_come() {
    let server = server();
    let reader = client(&server);
    let mut object = Object::new("x", lease("1"));
    object.version = reader.create(&object).unwrap();
    let writer = client(&server);
    let begun = Instant::now();
    let mut watch = reader.watch::<Lease>("x", object.version, WATCH).unwrap();
    let changed = thread::spawn(move || writer.update(&object).unwrap());
    let update = watch.next().unwrap().unwrap();
    assert!(begun.elapsed() < Duration::from_secs(2), "held back");
    let version = changed.join().unwrap();
    assert!(matches!(update, Update::Present(object) if object.version == version));
    let bookmark = watch.next().unwrap().unwrap();
    assert_eq!(bookmark, Update::Bookmark(version));
    assert!(watch.next().is_none());
}

#[test]
fn a_watch_from_a_forgotten_version_is_expired() {
    let server = server();
    let client = client(&server);
    let mut object = Object::new("x", lease("1"));
    object.version = client.create(&object).unwrap();
    for _ in 0..4200 {
        object.version = client.update(&object).unwrap();
    }
    let expired = client.watch::<Lease>("x", 1, WATCH).err();
    assert_eq!(expired, Some(Error::Expired));
}

#[test]
fn lost_answers_are_settled() {
    let server = server();
    let client = client(&server);
    let deadline = Instant::now() + Duration::from_secs(10);
    set(
        &server,
        &Faults {
            lose_answers: Some(1),
            stale_reads: Some(2),
            ..no_faults()
        },
    );
    let object = Object::new("x", lease("1"));
    let own = |nonce: &'static str| move |spec: &Lease| spec.nonce == nonce;
    let made = create_settled(&client, &object, deadline, own("1")).unwrap();
    assert_eq!(made.spec.nonce, "1");

    set(
        &server,
        &Faults {
            lose_answers: Some(1),
            stale_reads: Some(2),
            ..no_faults()
        },
    );
    let mut next = made.clone();
    next.spec.nonce = "2".to_owned();
    let updated = update_settled(&client, &next, deadline, own("2")).unwrap();
    assert_eq!(
        (updated.version, counts(&server).lost),
        (made.version + 1, 2)
    );

    let mut late = made.clone();
    late.spec.nonce = "3".to_owned();
    let conflict = update_settled(&client, &late, deadline, own("3"));
    assert_eq!(conflict, Err(Error::Conflict));
}
