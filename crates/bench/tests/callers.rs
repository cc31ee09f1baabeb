//! Callers that leave or do not read hold up nobody.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bench::client::Ask;
use bench::poll_until;
use bench::world::Workspace;
use support::{MODEL, assert_whole, settle, two_centres};

/// tokens of an answer that nobody waits for: at 10 ms a step, forty seconds
const TOKENS: u32 = 4000;
/// longest time until the upstream of a caller that left is cancelled
const CANCELLED_WITHIN: Duration = Duration::from_secs(15);

#[test]
fn the_upstream_of_a_caller_that_left_is_cancelled() {
    let world = two_centres().start().expect("a world");
    let client = world.client();
    settle(&world, &client);
    let ask = Ask::new(MODEL, "a sermon that nobody waits for", TOKENS);
    let mut stream = client.open(0, &ask).expect("a stream");
    let id = stream.request_id.clone();
    stream.next_step().expect("a token");
    drop(stream);
    let cancelled = poll_until(CANCELLED_WITHIN, || {
        let records = world
            .engines()
            .iter()
            .map(|engine| engine.record().unwrap_or_default());
        let mut runs = records.flatten();
        runs.find(|run| run.request_id.starts_with(&id) && run.cancelled)
    });
    let run = cancelled.expect("the upstream is cancelled");
    assert!(run.generated < TOKENS, "{run:?}");
}

#[test]
fn a_caller_that_does_not_read_holds_up_nobody() {
    let workspace = Workspace::new("temple");
    let key = workspace.key.clone();
    let world = two_centres().workspace(workspace).start().expect("a world");
    let client = world.client_of("temple");
    settle(&world, &client);
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"prompt\":\"unread\",\"max_tokens\":{TOKENS},\"stream\":true}}"
    );
    let mut unread = Vec::new();
    for _ in 0..8 {
        let mut caller = TcpStream::connect(world.daemons()[0].callers).expect("a connection");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(head.as_bytes()).expect("a request");
        unread.push(caller);
    }
    for number in 0..5 {
        let ask = Ask::new(MODEL, &format!("read {number}"), 20);
        assert_whole(&ask, &client.complete(0, &ask));
    }
}
