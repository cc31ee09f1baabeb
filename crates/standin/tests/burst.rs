//! Many concurrent requests, each on its own connection that stays open.
//!
//! Guards against a thread pool that hands two connections that arrive together to the same
//! idle thread: the second request would wait until some other connection ends.

mod support;

use std::io::Write;
use std::net::TcpStream;

use standin::plain::{Faults, Options, Server};
use support::eventually;

/// number of concurrent requests, too many to wake one thread after the other
const REQUESTS: usize = 300;

#[test]
fn all_requests_of_a_burst_start_although_none_ends() {
    let server = Server::start(Options::default()).expect("plain service should start");
    server.set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    let mut callers: Vec<TcpStream> = (0..REQUESTS)
        .map(|_| TcpStream::connect(server.address()).expect("connection should open"))
        .collect();
    for caller in &mut callers {
        caller
            .write_all(b"GET /listing HTTP/1.1\r\nhost: x\r\n\r\n")
            .expect("request should be sent");
    }
    eventually("all requests have started", || {
        server.record().len() == REQUESTS
    });
}
