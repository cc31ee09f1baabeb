//! Behaviour of the listener as callers see it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use web::{BodyError, Fallback, Listener, Malformed, Request, Server, Timeouts};

/// time limit for each step of a test
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// requests sent at the same time
const BURST: usize = 300;

/// a server that passes its requests to the test, which responds to them
fn start(timeouts: Timeouts) -> (Server, Receiver<Request>) {
    let (sender, requests): (Sender<Request>, _) = channel();
    let listener =
        Listener::bind("127.0.0.1:0").expect("a port of the loopback address can be bound");
    let forward = move |request| {
        sender
            .send(request)
            .expect("the test waits for the request")
    };
    let server = listener
        .start(timeouts, forward, FALLBACK)
        .expect("the listener thread starts");
    (server, requests)
}

const FALLBACK: Fallback = Fallback {
    malformed,
    interrupted,
};

fn interrupted() -> http::Response<Vec<u8>> {
    let mut response = http::Response::new(b"interrupted".to_vec());
    *response.status_mut() = http::StatusCode::BAD_GATEWAY;
    response
}

fn malformed(cause: Malformed) -> Vec<u8> {
    format!("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n{cause:?}").into_bytes()
}

fn next_request(requests: &Receiver<Request>) -> Request {
    requests
        .recv_timeout(STEP_TIMEOUT)
        .expect("the listener passes a request on")
}

fn connect(address: SocketAddr, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(address).expect("the listener accepts the connection");
    caller
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("the read time-out can be set");
    caller
        .write_all(text.as_bytes())
        .expect("the request is sent");
    caller
}

fn read_to_end(caller: &mut TcpStream) -> String {
    let mut text = String::new();
    // a connection reset ends the response as well
    let _ = caller.read_to_string(&mut text);
    text
}

#[test]
fn requests_on_many_open_connections_all_arrive() {
    let (server, requests) = start(Timeouts::default());
    let callers: Vec<TcpStream> = (0..BURST)
        .map(|_| connect(server.address(), "GET /listing HTTP/1.1\r\nhost: x\r\n\r\n"))
        .collect();
    let arrived: Vec<Request> = callers.iter().map(|_| next_request(&requests)).collect();
    assert_eq!(arrived.len(), BURST);
}

#[test]
fn a_connection_serves_a_second_request() {
    let (server, requests) = start(Timeouts::default());
    let text = "POST /a?b=c HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody";
    let mut caller = connect(server.address(), text);
    let mut request = next_request(&requests);
    assert_eq!(
        (request.path(), request.query(), request.target()),
        ("/a", "b=c", "/a?b=c")
    );
    assert_eq!(&request.body(4).expect("the body arrives")[..], b"body");
    request.respond(201, &[("x-id", "7")], b"answer".to_vec());
    caller
        .write_all(b"GET /d HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("the second request is sent");
    next_request(&requests).respond(200, &[], Vec::new());
    let text = read_to_end(&mut caller);
    assert!(text.starts_with("HTTP/1.1 201 "), "{text}");
    assert!(text.contains("x-id: 7\r\n"), "{text}");
    assert!(text.contains("\r\n\r\nanswerHTTP/1.1 200 "), "{text}");
}

#[test]
fn a_body_over_the_limit_is_rejected_by_its_stated_or_its_received_length() {
    let (server, requests) = start(Timeouts::default());
    let stated = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nbytes";
    let chunked =
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n";
    for text in [stated, chunked] {
        let _caller = connect(server.address(), text);
        let mut request = next_request(&requests);
        assert_eq!(request.body(4), Err(BodyError::TooLarge));
    }
}

#[test]
fn reading_an_incomplete_body_times_out() {
    let body = Duration::from_millis(200);
    let (server, requests) = start(Timeouts {
        body,
        ..Timeouts::default()
    });
    let text = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nby";
    let _caller = connect(server.address(), text);
    let mut request = next_request(&requests);
    let start = Instant::now();
    assert_eq!(request.body(100), Err(BodyError::Incomplete));
    assert!(start.elapsed() >= body && start.elapsed() < STEP_TIMEOUT);
}

#[test]
fn a_disconnect_ends_the_wait_for_the_body() {
    let (server, requests) = start(Timeouts::default());
    let text = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nby";
    let caller = connect(server.address(), text);
    let mut request = next_request(&requests);
    drop(caller);
    assert_eq!(request.body(100), Err(BodyError::Incomplete));
}

#[test]
fn a_dropped_writer_leaves_the_chunked_response_unterminated() {
    let (server, requests) = start(Timeouts::default());
    for complete in [true, false] {
        let text = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let mut caller = connect(server.address(), text);
        let mut writer = next_request(&requests).stream(200, &[]);
        writer.write("chunk").expect("the caller is connected");
        if complete {
            writer.end().expect("the caller is connected");
        } else {
            drop(writer);
        }
        assert_eq!(read_to_end(&mut caller).ends_with("0\r\n\r\n"), complete);
    }
}

#[test]
fn a_dropped_writer_resets_the_connection_of_an_http_1_0_caller() {
    let (server, requests) = start(Timeouts::default());
    for complete in [true, false] {
        let mut caller = connect(server.address(), "GET / HTTP/1.0\r\nhost: x\r\n\r\n");
        let mut writer = next_request(&requests).stream(200, &[]);
        writer.write("part").expect("the caller is connected");
        if complete {
            writer.end().expect("the caller is connected");
        } else {
            drop(writer);
        }
        let result = caller.read_to_end(&mut Vec::new());
        assert_eq!(result.is_ok(), complete, "{result:?}");
    }
}

#[test]
fn a_dropped_request_closes_its_connection() {
    let (server, requests) = start(Timeouts::default());
    let mut caller = connect(server.address(), "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    drop(next_request(&requests));
    assert_eq!(read_to_end(&mut caller), "");
}

#[test]
fn a_caller_that_does_not_read_is_disconnected_after_the_write_timeout() {
    let (server, requests) = start(Timeouts {
        write: Duration::from_millis(200),
        ..Timeouts::default()
    });
    let _caller = connect(server.address(), "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut writer = next_request(&requests).stream(200, &[]);
    let start = Instant::now();
    while writer.write(vec![0; 64 * 1024]).is_ok() {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the writer still accepts bytes after {STEP_TIMEOUT:?}"
        );
    }
}

#[test]
fn a_shutdown_finishes_responses_and_closes_idle_connections() {
    let (server, requests) = start(Timeouts::default());
    let address = server.address();
    let text = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut idle = connect(address, text);
    next_request(&requests).respond(200, &[], b"first".to_vec());
    // head and body may arrive in separate reads
    let mut read = Vec::new();
    while !read.ends_with(b"first") {
        let mut byte = [0; 1];
        idle.read_exact(&mut byte).expect("the response arrives");
        read.push(byte[0]);
    }
    let mut busy = connect(address, text);
    let mut writer = next_request(&requests).stream(200, &[]);
    writer.write("begun").expect("the caller is connected");
    let stopping = thread::spawn(move || server.shut_down(STEP_TIMEOUT));
    assert_eq!(read_to_end(&mut idle), "");
    // the socket may close shortly after the idle connections
    let start = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the listener still accepts connections after {STEP_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
    writer.write(", ended").expect("the caller is connected");
    writer.end().expect("the caller is connected");
    stopping.join().expect("the shutdown does not panic");
    assert!(read_to_end(&mut busy).ends_with("0\r\n\r\n"));
}

/// calls that were still running when the time for a shutdown was over were cut without an answer
#[test]
fn a_request_whose_handler_does_not_respond_is_answered_at_the_end_of_a_shutdown() {
    let (server, requests) = start(Timeouts::default());
    let mut caller = connect(server.address(), "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    let request = next_request(&requests);
    let grace = Duration::from_secs(2);
    let start = Instant::now();
    let stopping = thread::spawn(move || server.shut_down(grace));
    let text = read_to_end(&mut caller);
    assert!(text.starts_with("HTTP/1.1 502 "), "{text}");
    assert!(text.ends_with("interrupted"), "{text}");
    assert!(start.elapsed() < grace);
    stopping.join().expect("the shutdown does not panic");
    request.respond(200, &[], Vec::new());
}

#[test]
fn malformed_requests_get_the_callback_s_response_and_do_not_reach_the_handler() {
    let (server, requests) = start(Timeouts::default());
    let many: String = (0..600).map(|n| format!("x-{n}: 1\r\n")).collect();
    let large = format!("x-large: {}\r\n", "x".repeat(300 * 1024));
    let post = |headers: &str| format!("POST / HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    let cases = [
        ("NotHttp", "no request at all\r\n\r\n".to_owned()),
        ("NotHttp", "GET / HTTP/9.9\r\n\r\n".to_owned()),
        ("NotHttp", post("no colon\r\n")),
        ("NotHttp", post("name : value\r\n")),
        ("TooLarge", post(&many)),
        ("TooLarge", post(&large)),
        (
            "BodyLength",
            post("content-length: 1\r\ncontent-length: 2\r\n"),
        ),
        (
            "BodyLength",
            post("content-length: 1\r\ntransfer-encoding: chunked\r\n"),
        ),
        (
            "BodyLength",
            post("transfer-encoding: chunked\r\ncontent-length: 1\r\n"),
        ),
        ("BodyLength", post("content-length: -5\r\n")),
    ];
    for (cause, text) in cases {
        let mut caller = connect(server.address(), &text);
        let response = read_to_end(&mut caller);
        assert!(response.ends_with(cause), "{cause}: {response}");
    }
    assert!(
        requests.try_recv().is_err(),
        "a malformed request reached the handler"
    );
}

#[test]
fn pipelined_and_split_requests_are_separated() {
    let (server, requests) = start(Timeouts::default());
    let text = "POST /1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nhost: x\r\n\r\nGET /3 HTT";
    let mut caller = connect(server.address(), text);
    let mut first = next_request(&requests);
    assert_eq!(&first.body(10).expect("the body arrives")[..], b"one");
    thread::sleep(Duration::from_millis(50));
    caller
        .write_all(b"P/1.1\r\nhost: x\r\n\r\nno request\r\n\r\n")
        .expect("the rest of the requests is sent");
    first.respond(200, &[], b"1".to_vec());
    for path in ["/2", "/3"] {
        let request = next_request(&requests);
        assert_eq!(request.path(), path);
        let mut writer = request.stream(200, &[]);
        writer
            .write(path.to_owned())
            .expect("the caller is connected");
        writer.end().expect("the caller is connected");
    }
    let responses = read_to_end(&mut caller);
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 3, "{responses}");
    assert!(responses.ends_with("NotHttp"), "{responses}");
}
