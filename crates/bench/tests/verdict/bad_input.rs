//! Bad input gets a clear 4xx in the promised form, runs nothing and stops nothing.

use std::net::SocketAddr;

use schema::failure::Verdict;

use super::proof::{Call, Scenes, executions, send_bytes};
use super::{DESK, MODEL, Stage};

/// largest body that a daemon takes by default, bytes
const BODY_LIMIT: usize = 1 << 20;

/// one bad call and the statuses that fit it
struct Case {
    what: &'static str,
    statuses: &'static [u16],
    call: Call,
    /// what the caller is told about whether it ran
    verdict: Verdict,
}

pub fn scenes(scenes: &mut Scenes, stage: &mut Stage) {
    stage.heal();
    let stage = &*stage;
    let to = stage.world.daemons()[0].callers;
    scenes.run("bad calls get a clear 4xx in the promised form", || {
        let before = work(stage);
        for case in bad_keys(stage)
            .into_iter()
            .chain(bad_bodies(stage))
            .chain(bad_headers(stage))
            .chain(bad_paths(stage))
        {
            check(&case, to);
        }
        assert_eq!(work(stage), before, "bad input ran something");
        assert!(stage.world.daemons()[0].is_ready());
    });
    scenes.run("bytes that are no HTTP do not stop a daemon", || {
        let before = work(stage);
        garbage(to);
        assert_eq!(work(stage), before, "garbage ran something");
        assert!(stage.world.daemons()[0].is_ready());
    });
}

fn work(stage: &Stage) -> (usize, usize) {
    let engine = stage.world.engines()[0].record().expect("a record");
    (executions(&stage.world).len(), engine.len())
}

fn check(case: &Case, to: SocketAddr) {
    let reply = case
        .call
        .send(to)
        .unwrap_or_else(|error| panic!("{}: {error}", case.what));
    let fits = case.statuses.contains(&reply.status);
    assert!(fits, "{}: {reply:?}", case.what);
    reply.assert_form();
    assert_eq!(reply.verdict(), Some(case.verdict), "{}", case.what);
}

fn case(what: &'static str, statuses: &'static [u16], call: Call) -> Case {
    Case {
        what,
        statuses,
        call,
        verdict: Verdict::NotRun,
    }
}

fn ask(stage: &Stage, body: &str) -> Call {
    Call::new("POST", "/v1/completions")
        .bearer(&stage.key)
        .body(body)
}

fn book(stage: &Stage) -> Call {
    Call::new("POST", &format!("/services/{DESK}/bad"))
        .bearer(&stage.key)
        .body("x")
}

fn bad_keys(stage: &Stage) -> Vec<Case> {
    let path = format!("/services/{DESK}/bad");
    vec![
        case("no key", &[401], Call::new("POST", &path)),
        case("a wrong key", &[401], Call::new("POST", &path).bearer("no")),
        case(
            "another scheme",
            &[401],
            Call::new("POST", &path).header("Authorization", "Basic eDp5"),
        ),
        case(
            "an empty header",
            &[401],
            Call::new("POST", &path).header("Authorization", ""),
        ),
        case("two keys", &[400], book(stage).bearer(&stage.key)),
        case(
            "no key for a ticket",
            &[401],
            Call::new("POST", "/v1/tickets"),
        ),
        case(
            "no key for a completion",
            &[401],
            Call::new("POST", "/v1/completions"),
        ),
    ]
}

fn bad_bodies(stage: &Stage) -> Vec<Case> {
    let deep = "[".repeat(100_000);
    let model = |rest: &str| format!("{{\"model\":\"{MODEL}\",{rest}}}");
    let other = format!("{{\"model\":\"{DESK}\",\"prompt\":\"x\"}}");
    let to_model = Call::new("POST", &format!("/services/{MODEL}/x")).bearer(&stage.key);
    let to_none = Call::new("POST", "/services/nobody/x").bearer(&stage.key);
    vec![
        case("no JSON", &[400], ask(stage, "{\"model\":")),
        case("no body", &[400], ask(stage, "")),
        case("deep JSON", &[400], ask(stage, &deep)),
        case("no prompt", &[400], ask(stage, &model("\"max_tokens\":3"))),
        case(
            "a negative count",
            &[400],
            ask(stage, &model("\"prompt\":\"x\",\"max_tokens\":-1")),
        ),
        case(
            "a count beyond all bounds",
            &[400],
            ask(stage, &model("\"prompt\":\"x\",\"max_tokens\":1e99")),
        ),
        case(
            "a number for a prompt",
            &[400],
            ask(stage, &model("\"prompt\":7")),
        ),
        case(
            "an unknown model",
            &[404],
            ask(stage, "{\"model\":\"nobody\",\"prompt\":\"x\"}"),
        ),
        case("a plain service as a model", &[400], ask(stage, &other)),
        case("a model as a plain service", &[400], to_model),
        case("an unknown service", &[404], to_none),
        case(
            "a body over the limit",
            &[413],
            book(stage).body(vec![b'x'; BODY_LIMIT + 1]),
        ),
        case(
            "a prompt over the limit",
            &[413],
            ask(stage, &"x".repeat(BODY_LIMIT + 1)),
        ),
        case(
            "chunks over the limit",
            &[413],
            book(stage)
                .body(chunks(BODY_LIMIT + 1))
                .header("Transfer-Encoding", "chunked")
                .unsized_body(),
        ),
    ]
}

fn chunks(size: usize) -> Vec<u8> {
    let mut bytes = format!("{size:x}\r\n").into_bytes();
    bytes.extend(vec![b'x'; size]);
    bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    bytes
}

fn bad_headers(stage: &Stage) -> Vec<Case> {
    let mut many = book(stage);
    for number in 0..100 {
        many = many.header(&format!("X-Many-{number}"), "1");
    }
    let with = |name: &str, value: &str| book(stage).header(name, value);
    let key = |value: &str| with("Idempotency-Key", value);
    let large = "x".repeat(32 * 1024);
    let beyond = "9".repeat(23);
    let doubled = key("one").header("idempotency-key", "two");
    let lengths = with("Content-Length", "1").body("hello");
    vec![
        case("a hundred headers", &[431], many),
        case("a header of 32 KB", &[431], with("X-Large", &large)),
        case("an empty key", &[400], key("")),
        case("a key of 300 characters", &[400], key(&"k".repeat(300))),
        case("a doubled key", &[400], doubled),
        case("two lengths", &[400], lengths),
        case(
            "a length and chunks",
            &[400],
            with("Transfer-Encoding", "chunked"),
        ),
        case("a priority above 9", &[400], with("X-Priority", "99")),
        case("a priority in words", &[400], with("X-Priority", "high")),
        case("a negative priority", &[400], with("X-Priority", "-1")),
        case("no time at all", &[400], with("X-Deadline-Ms", "0")),
        case(
            "a deadline beyond numbers",
            &[400],
            with("X-Deadline-Ms", &beyond),
        ),
    ]
}

fn bad_paths(stage: &Stage) -> Vec<Case> {
    let get = |path: &str| Call::new("GET", path).bearer(&stage.key);
    vec![
        Case {
            verdict: Verdict::MayHaveRun,
            ..case("an unknown request", &[404], get("/v1/requests/nothing"))
        },
        case("an unknown path", &[404], get("/nothing")),
        case("another method", &[405], get("/v1/completions")),
    ]
}

/// not even HTTP: the connection may end without an answer, but never with a success
fn garbage(to: SocketAddr) {
    let cases: [&[u8]; 7] = [
        b"\0\0\0\0\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/tickets HTTP/1.1\r\nno colon\r\n\r\n",
        b"POST /v1/tickets HTTP/1.1\r\nContent-Length: -5\r\nConnection: close\r\n\r\n",
        b"POST /v1/tickets HTTP/1.1\r\nX-Name: \xff\xfe\r\nConnection: close\r\n\r\n",
        b"GET /%00%ff/../../etc HTTP/1.1\r\nConnection: close\r\n\r\n",
    ];
    for bytes in cases {
        if let Ok(reply) = send_bytes(to, bytes) {
            assert!(reply.status >= 400, "{reply:?}");
        }
    }
}
