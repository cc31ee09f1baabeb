//! Calls to the object API and the verdicts of their errors.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use common::{client, counts, no_faults, server, set_faults};
use schema::failure::Verdict;
use schema::objects::{Answer, Encoding, Faults, Lease, Shard};
use standin::objects::{Options, Server};
use store::{Client, Error, Object, Update, create_with_retry, update_with_retry};

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
    assert_eq!(client.create(&object), Err(Error::AlreadyExists));
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
    assert_eq!(client.update(&object), Err(Error::NotFound));
}

#[test]
fn a_merge_patch_changes_only_its_entries() {
    let server = server();
    let client = client(&server);
    let shard = Shard {
        claims: HashMap::new(),
        segments: Vec::new(),
    };
    let base = client.create(&Object::new("s", shard)).unwrap();
    let claim = serde_json::json!({"request": "r", "owner": "o", "nonce": "n", "at_ms": 1});
    let patch = serde_json::json!({"claims": {"a": claim, "b": claim}});
    let second = client.merge_patch::<Shard>("s", base, &patch).unwrap();
    let patch = serde_json::json!({"claims": {"a": null}});
    assert_eq!(
        client.merge_patch::<Shard>("s", base, &patch),
        Err(Error::Conflict)
    );
    client.merge_patch::<Shard>("s", second, &patch).unwrap();
    let shard = client.get::<Shard>("s").unwrap().unwrap();
    let keys: Vec<&String> = shard.spec.claims.keys().collect();
    assert_eq!(keys, ["b"]);
}

#[test]
fn verdicts_tell_whether_a_change_may_have_run() {
    let server = server();
    let reachable = client(&server);
    let object = Object::new("x", lease("1"));

    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let unreachable = Client::new(&format!("http://{closed}"), "").create(&object);
    assert!(
        matches!(unreachable, Err(Error::Unreachable(_))),
        "{unreachable:?}"
    );
    assert_eq!(unreachable.unwrap_err().verdict(), Verdict::NotRun);

    let lose = Faults {
        lose_answers: Some(1),
        ..no_faults()
    };
    set_faults(&server, &lose);
    let lost = reachable.create(&object).unwrap_err();
    assert_eq!(lost.verdict(), Verdict::MayHaveRun);
    assert!(reachable.get::<Lease>("x").unwrap().is_some());

    set_faults(
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
    set_faults(
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
fn a_call_times_out_if_the_server_does_not_respond() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unresponsive.local_addr().unwrap();
    let timeouts = store::Timeouts {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(1),
    };
    let client = Client::new(&format!("http://{address}"), "").timeouts(timeouts);
    let started = Instant::now();
    let error = client.create(&Object::new("x", lease("1"))).unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert!(started.elapsed() < Duration::from_secs(3));
}

#[test]
fn rate_limits_and_wrong_tokens_reject_changes_without_effect() {
    let options = Options::default().writes_per_second(1).token("secret");
    let server = Server::start(&options).unwrap();
    let object = Object::new("x", lease("1"));
    let wrong = Client::new(&server.url(), "other")
        .create(&object)
        .unwrap_err();
    assert!(matches!(wrong, Error::Rejected { code: 401, .. }));
    let client = Client::new(&server.url(), "secret");
    let limited = client.create(&object).unwrap_err();
    assert_eq!(
        (limited.verdict(), limited),
        (Verdict::NotRun, Error::Overloaded)
    );
    assert_eq!(client.get::<Lease>("x"), Ok(None));
}

#[test]
fn a_watch_delivers_changes_at_once() {
    let server = server();
    let reader = client(&server);
    let mut object = Object::new("x", lease("1"));
    object.version = reader.create(&object).unwrap();
    let writer = client(&server);
    let started = Instant::now();
    let mut watch = reader.watch::<Lease>("x", object.version, WATCH).unwrap();
    let changed = thread::spawn(move || writer.update(&object).unwrap());
    let update = watch.next().unwrap().unwrap();
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "the change was delayed"
    );
    let version = changed.join().unwrap();
    assert!(matches!(update, Update::Present(object) if object.version == version));
    let bookmark = watch.next().unwrap().unwrap();
    assert_eq!(bookmark, Update::Bookmark(version));
    assert!(watch.next().is_none());
}

#[test]
fn a_watch_from_a_discarded_version_is_expired() {
    let server = server();
    let client = client(&server);
    let mut object = Object::new("x", lease("1"));
    object.version = client.create(&object).unwrap();
    for _ in 0..4200 {
        object.version = client.update(&object).unwrap();
    }
    let expired = client.watch::<Lease>("x", 1, WATCH).err();
    assert_eq!(expired, Some(Error::VersionExpired));
}

#[test]
fn lost_responses_are_resolved() {
    let server = server();
    let client = client(&server);
    let deadline = Instant::now() + Duration::from_secs(10);
    set_faults(
        &server,
        &Faults {
            lose_answers: Some(1),
            stale_reads: Some(2),
            ..no_faults()
        },
    );
    let object = Object::new("x", lease("1"));
    let own = |nonce: &'static str| move |spec: &Lease| spec.nonce == nonce;
    let created = create_with_retry(&client, &object, deadline, own("1")).unwrap();
    assert_eq!(created.spec.nonce, "1");

    set_faults(
        &server,
        &Faults {
            lose_answers: Some(1),
            stale_reads: Some(2),
            ..no_faults()
        },
    );
    let mut next = created.clone();
    next.spec.nonce = "2".to_owned();
    let updated = update_with_retry(&client, &next, deadline, own("2")).unwrap();
    assert_eq!(
        (updated.version, counts(&server).lost),
        (created.version + 1, 2)
    );

    let mut late = created.clone();
    late.spec.nonce = "3".to_owned();
    let conflict = update_with_retry(&client, &late, deadline, own("3"));
    assert_eq!(conflict, Err(Error::Conflict));
}

#[test]
fn unreadable_object_of_a_list_costs_only_itself() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let deep = format!("{}1{}", "[".repeat(5000), "]".repeat(5000));
    let document = |name: &str, spec: &str| {
        format!(
            r#"{{"apiVersion":"v1","kind":"Lease","metadata":{{"name":"{name}","resourceVersion":"4"}},"spec":{spec}}}"#
        )
    };
    let sound = r#"{"holder":"a","nonce":"n","fence":1,"ttl_ms":1000}"#;
    let items = [
        document("a", sound),
        document("b", &deep),
        document("c", r#"{"fence":1e999}"#),
        document("d", r#"{"holder":5}"#),
        document("e", sound),
    ];
    let items = items.join(",");
    let body = format!(r#"{{"metadata":{{"resourceVersion":"9"}},"items":[{items}]}}"#);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).expect("a request");
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let written = stream.write_all(format!("{head}{body}").as_bytes());
            written.expect("the response is written");
        }
    });
    let list = Client::new(&format!("http://{address}"), "").list::<Lease>();
    let list = list.expect("a list");
    let names: Vec<&str> = list.items.iter().map(|item| item.name.as_str()).collect();
    assert_eq!((list.version, &names[..]), (9, &["a", "e"][..]));
}
