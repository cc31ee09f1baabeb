//! Upstreams that send bytes without end, at once or slowly, in a head or a body.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use engine::{Client, Request, Timeouts};
use schema::engine::Completion;

/// time limit of the calls
const LIMIT: Duration = Duration::from_millis(800);

/// time until a call has ended
const END: Duration = Duration::from_millis(2500);

/// pause between two writes of a slow upstream, shorter than the idle time-out
const PAUSE: Duration = Duration::from_millis(100);

const HEAD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n";

/// starts an upstream that responds with a text, then with another one again and again
fn start(first: &str, then: &str, pause: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let (first, then) = (first.to_owned(), then.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (first, then) = (first.clone(), then.clone());
            thread::spawn(move || respond(stream, &first, &then, pause));
        }
    });
    address
}

fn respond(mut stream: TcpStream, first: &str, then: &str, pause: Duration) {
    let mut request = [0; 4096];
    if stream.read(&mut request).is_err() || stream.write_all(first.as_bytes()).is_err() {
        return;
    }
    while stream.write_all(then.as_bytes()).is_ok() {
        thread::sleep(pause);
    }
}

fn client() -> Client {
    Client::new(Timeouts {
        connect: Duration::from_millis(500),
        idle: Duration::from_millis(400),
        plain: Duration::from_millis(400),
    })
}

fn completion() -> Completion {
    Completion {
        max_tokens: 10,
        model: "model".to_owned(),
        prior: Vec::new(),
        priority: 5,
        prompt: "a prompt".to_owned(),
        request_id: "stream-1".to_owned(),
        stream: true,
    }
}

/// responses without end: what comes first, and what comes again and again
fn responses() -> Vec<(&'static str, String, String)> {
    let open_head = format!("{HEAD}\r\n");
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let interim = "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n";
    vec![
        ("empty lines", String::new(), "\r\n".to_owned()),
        ("interim responses", String::new(), interim.to_owned()),
        ("a chunk size", chunked.clone(), "0".to_owned()),
        ("a chunk extension", format!("{chunked}1;"), "a".to_owned()),
        ("chunks", chunked.clone(), "1\r\nx\r\n".to_owned()),
        (
            "trailers",
            format!("{chunked}0\r\n"),
            "x-a: b\r\n".to_owned(),
        ),
        ("bytes that are no head", String::new(), "x".to_owned()),
        ("a status line", "HTTP/1.1 200 ".to_owned(), "O".to_owned()),
        ("header lines", HEAD.to_owned(), "x-a: b\r\n".to_owned()),
        (
            "invalid header lines",
            HEAD.to_owned(),
            "x a: b\r\n".to_owned(),
        ),
        ("a body", open_head.clone(), "x".to_owned()),
        ("lines of a body", open_head.clone(), "xyz\n".to_owned()),
        ("comments", open_head, ": on\n\n".to_owned()),
        (
            "an error's body",
            "HTTP/1.1 500 Error\r\n\r\n".to_owned(),
            "x".to_owned(),
        ),
    ]
}

/// asserts that a call fails in time
fn assert_fails(name: &str, call: impl FnOnce() -> bool) {
    let start = Instant::now();
    assert!(call(), "{name}: the call succeeded");
    let took = start.elapsed();
    assert!(took < END, "{name}: the call took {took:?}");
}

/// makes all kinds of calls to an upstream
fn assert_calls_end(name: &str, address: &str) {
    let client = client();
    let request = Request {
        method: "GET",
        path: "/",
        headers: &[],
        body: &[],
    };
    assert_fails(name, || {
        if let Ok(mut stream) = client.open(address, &completion(), "", LIMIT) {
            while stream.next_item().is_ok() {}
        }
        true
    });
    assert_fails(name, || client.call(address, &request, LIMIT).is_err());
    assert_fails(name, || client.load(address).is_err());
    assert_fails(name, || client.cache_events(address, 0).is_err());
    assert_fails(name, || client.last_order(address).is_err());
    assert_fails(name, || {
        if let Ok(mut stream) = client.attach(address, "stream-1", 0, LIMIT) {
            while stream.next_item().is_ok() {}
        }
        true
    });
    assert_fails(name, || {
        // the body of a successful response is not read
        let _ = client.cancel(address, "stream-1");
        true
    });
}

#[test]
fn slow_bytes_without_end_end_with_the_time_limit() {
    thread::scope(|scope| {
        for (name, first, then) in responses() {
            scope.spawn(move || assert_calls_end(name, &start(&first, &then, PAUSE)));
        }
    });
}

#[test]
fn fast_bytes_without_end_end_with_the_time_limit() {
    for (name, first, then) in responses() {
        let then = then.repeat(1000);
        assert_calls_end(name, &start(&first, &then, Duration::ZERO));
    }
}

#[test]
fn response_that_is_cut_off_is_an_error() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 4096];
            let received = stream.read(&mut request).expect("a request");
            assert!(received > 0);
            stream.write_all(response.as_bytes()).expect("the response");
        });
        let request = Request {
            method: "GET",
            path: "/",
            headers: &[],
            body: &[],
        };
        let result = client().call(&address, &request, LIMIT);
        assert!(result.is_err(), "{response:?}: {result:?}");
    }
}
