//! Upstreams that write an earlier refusal once more.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use engine::{Client, FailureKind, Request, Timeouts};
use schema::failure::Verdict;

const LIMIT: Duration = Duration::from_secs(2);

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// refuses the first request of each connection, and writes the refusal again after the next one on it;
/// the second connection's request runs
fn serve(mut stream: TcpStream, connections: &AtomicUsize) {
    let number = connections.fetch_add(1, Ordering::SeqCst);
    let mut request = [0; 4096];
    let response = if number == 0 { REFUSAL } else { ANSWER };
    let mut next = response;
    while stream.read(&mut request).is_ok_and(|read| read > 0) {
        if stream.write_all(next.as_bytes()).is_err() {
            return;
        }
        next = REFUSAL;
    }
}

#[test]
fn earlier_refusal_does_not_prove_that_the_next_request_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || serve(stream, &counter));
        }
    });
    let client = Client::new(Timeouts {
        connect: Duration::from_millis(500),
        idle: Duration::from_millis(400),
        plain: Duration::from_millis(400),
    });
    let request = Request {
        method: "POST",
        path: "/book",
        headers: &[],
        body: b"body",
    };
    let refused = client
        .call(&address, &request, LIMIT)
        .expect_err("a refusal");
    assert_eq!(
        (refused.kind, refused.verdict),
        (FailureKind::Refused, Verdict::NotRun)
    );
    let response = client.call(&address, &request, LIMIT).expect("an answer");
    assert_eq!((response.status, &response.body[..]), (200, &b"done"[..]));
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}
