//! Callers that disconnect or do not read their responses do not delay other callers.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bench::client::Request;
use bench::poll_until;
use bench::world::Workspace;
use support::{MODEL, assert_complete, two_centres, wait_served};

/// tokens of a response that nobody reads: 40 s at 10 ms per step
const TOKENS: u32 = 4000;
/// limit for cancelling the upstream run after its caller has disconnected
const CANCELLED_WITHIN: Duration = Duration::from_secs(15);

#[test]
fn the_upstream_run_of_a_disconnected_caller_is_cancelled() {
    let world = two_centres().start().expect("world must start");
    let client = world.client();
    wait_served(&world, &client);
    let request = Request::new(MODEL, "a sermon that nobody waits for", TOKENS);
    let mut stream = client.open(0, &request).expect("stream must open");
    let id = stream.request_id.clone();
    stream.next_step().expect("stream must give a token");
    drop(stream);
    let cancelled = poll_until(CANCELLED_WITHIN, || {
        let records = world
            .engines()
            .iter()
            .map(|engine| engine.record().unwrap_or_default());
        let mut runs = records.flatten();
        runs.find(|run| run.request_id.starts_with(&id) && run.cancelled)
    });
    let run = cancelled.expect("upstream run was not cancelled in time");
    assert!(run.generated < TOKENS, "{run:?}");
}

#[test]
fn a_caller_that_does_not_read_delays_no_other_caller() {
    let workspace = Workspace::new("temple");
    let key = workspace.key.clone();
    let world = two_centres()
        .workspace(workspace)
        .start()
        .expect("world must start");
    let client = world.client_of("temple");
    wait_served(&world, &client);
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"prompt\":\"unread\",\"max_tokens\":{TOKENS},\"stream\":true}}"
    );
    let mut unread = Vec::new();
    for _ in 0..8 {
        let mut caller =
            TcpStream::connect(world.daemons()[0].callers).expect("connect to the daemon");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(head.as_bytes()).expect("send the request");
        unread.push(caller);
    }
    for number in 0..5 {
        let request = Request::new(MODEL, &format!("read {number}"), 20);
        assert_complete(&request, &client.complete(0, &request));
    }
}
