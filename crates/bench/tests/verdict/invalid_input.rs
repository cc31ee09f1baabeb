//! Invalid input gets a 4xx status and an error body, runs nothing and stops no daemon.

use std::net::SocketAddr;

use schema::failure::Verdict;

use super::harness::{Call, Scenarios, executions, send_bytes};
use super::{DESK, Fixture, MODEL};

/// default limit of a request body, bytes
const BODY_LIMIT: usize = 1 << 20;

/// an invalid call and the expected response
struct Case {
    name: &'static str,
    statuses: &'static [u16],
    call: Call,
    /// expected verdict
    verdict: Verdict,
}

pub fn run_all(scenarios: &mut Scenarios, fixture: &mut Fixture) {
    fixture.recover();
    let fixture = &*fixture;
    let to = fixture.world.daemons()[0].callers;
    scenarios.run("invalid calls get a 4xx status and an error body", || {
        let before = run_counts(fixture);
        for case in invalid_keys(fixture)
            .into_iter()
            .chain(invalid_bodies(fixture))
            .chain(invalid_headers(fixture))
            .chain(invalid_paths(fixture))
        {
            check(&case, to);
        }
        assert_eq!(
            run_counts(fixture),
            before,
            "invalid input ran on an upstream"
        );
        assert!(fixture.world.daemons()[0].is_ready());
    });
    scenarios.run("bytes that are not HTTP do not stop a daemon", || {
        let before = run_counts(fixture);
        send_malformed_bytes(to);
        assert_eq!(
            run_counts(fixture),
            before,
            "bytes that are not HTTP ran on an upstream"
        );
        assert!(fixture.world.daemons()[0].is_ready());
    });
}

fn run_counts(fixture: &Fixture) -> (usize, usize) {
    let engine = fixture.world.engines()[0]
        .record()
        .expect("read the engine's record");
    (executions(&fixture.world).len(), engine.len())
}

fn check(case: &Case, to: SocketAddr) {
    let reply = case
        .call
        .send(to)
        .unwrap_or_else(|error| panic!("{}: {error}", case.name));
    let is_expected = case.statuses.contains(&reply.status);
    assert!(is_expected, "{}: {reply:?}", case.name);
    reply.assert_error_body();
    assert_eq!(reply.verdict(), Some(case.verdict), "{}", case.name);
}

fn case(name: &'static str, statuses: &'static [u16], call: Call) -> Case {
    Case {
        name,
        statuses,
        call,
        verdict: Verdict::NotRun,
    }
}

fn complete(fixture: &Fixture, body: &str) -> Call {
    Call::new("POST", "/v1/completions")
        .bearer(&fixture.key)
        .body(body)
}

fn book(fixture: &Fixture) -> Call {
    Call::new("POST", &format!("/services/{DESK}/bad"))
        .bearer(&fixture.key)
        .body("x")
}

fn invalid_keys(fixture: &Fixture) -> Vec<Case> {
    let path = format!("/services/{DESK}/bad");
    vec![
        case("no API key", &[401], Call::new("POST", &path)),
        case(
            "an unknown API key",
            &[401],
            Call::new("POST", &path).bearer("no"),
        ),
        case(
            "an unsupported authorization scheme",
            &[401],
            Call::new("POST", &path).header("Authorization", "Basic eDp5"),
        ),
        case(
            "an empty authorization header",
            &[401],
            Call::new("POST", &path).header("Authorization", ""),
        ),
        case("two API keys", &[400], book(fixture).bearer(&fixture.key)),
        case(
            "no API key for a ticket",
            &[401],
            Call::new("POST", "/v1/tickets"),
        ),
        case(
            "no API key for a completion",
            &[401],
            Call::new("POST", "/v1/completions"),
        ),
    ]
}

fn invalid_bodies(fixture: &Fixture) -> Vec<Case> {
    let deep = "[".repeat(100_000);
    let model = |rest: &str| format!("{{\"model\":\"{MODEL}\",{rest}}}");
    let plain_as_model = format!("{{\"model\":\"{DESK}\",\"prompt\":\"x\"}}");
    let to_model = Call::new("POST", &format!("/services/{MODEL}/x")).bearer(&fixture.key);
    let to_none = Call::new("POST", "/services/nobody/x").bearer(&fixture.key);
    vec![
        case("incomplete JSON", &[400], complete(fixture, "{\"model\":")),
        case("no body", &[400], complete(fixture, "")),
        case("deeply nested JSON", &[400], complete(fixture, &deep)),
        case(
            "no prompt",
            &[400],
            complete(fixture, &model("\"max_tokens\":3")),
        ),
        case(
            "a negative token count",
            &[400],
            complete(fixture, &model("\"prompt\":\"x\",\"max_tokens\":-1")),
        ),
        case(
            "a token count out of range",
            &[400],
            complete(fixture, &model("\"prompt\":\"x\",\"max_tokens\":1e99")),
        ),
        case(
            "a number for a prompt",
            &[400],
            complete(fixture, &model("\"prompt\":7")),
        ),
        case(
            "an unknown model",
            &[404],
            complete(fixture, "{\"model\":\"nobody\",\"prompt\":\"x\"}"),
        ),
        case(
            "a plain service as a model",
            &[400],
            complete(fixture, &plain_as_model),
        ),
        case("a model as a plain service", &[400], to_model),
        case("an unknown service", &[404], to_none),
        case(
            "a body over the limit",
            &[413],
            book(fixture).body(vec![b'x'; BODY_LIMIT + 1]),
        ),
        case(
            "a prompt over the limit",
            &[413],
            complete(fixture, &"x".repeat(BODY_LIMIT + 1)),
        ),
        case(
            "a chunked body over the limit",
            &[413],
            book(fixture)
                .body(chunks(BODY_LIMIT + 1))
                .header("Transfer-Encoding", "chunked")
                .without_length(),
        ),
    ]
}

fn chunks(size: usize) -> Vec<u8> {
    let mut bytes = format!("{size:x}\r\n").into_bytes();
    bytes.extend(vec![b'x'; size]);
    bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    bytes
}

fn invalid_headers(fixture: &Fixture) -> Vec<Case> {
    let mut many = book(fixture);
    for number in 0..100 {
        many = many.header(&format!("X-Many-{number}"), "1");
    }
    let with = |name: &str, value: &str| book(fixture).header(name, value);
    let key = |value: &str| with("Idempotency-Key", value);
    let large = "x".repeat(32 * 1024);
    let out_of_range = "9".repeat(23);
    let two_keys = key("one").header("idempotency-key", "two");
    let lengths = with("Content-Length", "1").body("hello");
    vec![
        case("a hundred headers", &[431], many),
        case("a header of 32 KB", &[431], with("X-Large", &large)),
        case("an empty idempotency key", &[400], key("")),
        case(
            "an idempotency key of 300 characters",
            &[400],
            key(&"k".repeat(300)),
        ),
        case("two idempotency keys", &[400], two_keys),
        case("two content lengths", &[400], lengths),
        case(
            "a content length and chunked encoding",
            &[400],
            with("Transfer-Encoding", "chunked"),
        ),
        case("a priority above 9", &[400], with("X-Priority", "99")),
        case(
            "a priority that is not a number",
            &[400],
            with("X-Priority", "high"),
        ),
        case("a negative priority", &[400], with("X-Priority", "-1")),
        case("a deadline of zero", &[400], with("X-Deadline-Ms", "0")),
        case(
            "a deadline out of range",
            &[400],
            with("X-Deadline-Ms", &out_of_range),
        ),
    ]
}

fn invalid_paths(fixture: &Fixture) -> Vec<Case> {
    let get = |path: &str| Call::new("GET", path).bearer(&fixture.key);
    vec![
        Case {
            verdict: Verdict::MayHaveRun,
            ..case("an unknown request", &[404], get("/v1/requests/nothing"))
        },
        case("an unknown path", &[404], get("/nothing")),
        case("an unsupported method", &[405], get("/v1/completions")),
    ]
}

/// sends bytes that are not valid HTTP; a daemon may close the connection, but never report success
fn send_malformed_bytes(to: SocketAddr) {
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
