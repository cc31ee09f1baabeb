//! Connections to the addresses for readiness checks and metrics.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gateway::listeners;
use support::{Caller, Harness, run};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// time in which a connection without a complete request has to be closed
const CLOSE_TIME: Duration = Duration::from_secs(12);

/// starts the listener for readiness checks
async fn start() -> (Harness, SocketAddr) {
    let harness = Harness::start().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listeners::bind(any).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    spawn_local(listeners::readiness(Rc::clone(&harness.shared), listener));
    (harness, address)
}

/// connections that sent no complete request were kept open for good, up to the last descriptor
#[test]
fn connections_without_a_complete_request_are_closed() {
    run(async {
        let (_harness, address) = start().await;
        let texts = ["", "GET /ready HTTP/1.1\r\n", "GET /ready HTTP/1.1\r\n\r\n"];
        let is_closed = async |text: &str| {
            let mut caller = Caller::connect(address).await;
            caller.send(text).await;
            caller.is_closed_within(CLOSE_TIME).await
        };
        let closed = tokio::join!(
            is_closed(texts[0]),
            is_closed(texts[1]),
            is_closed(texts[2])
        );
        assert_eq!(closed, (true, true, true), "{texts:?}");
    });
}

#[test]
fn bytes_without_end_close_the_connection() {
    run(async {
        let (_harness, address) = start().await;
        let get = "GET /ready HTTP/1.1\r\n";
        let post = "POST /ready HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
        let cases = [
            ("a request line", "", "G"),
            ("empty lines", "", "\r\n"),
            ("header lines", get, "x-a: b\r\n"),
            ("a header", get, "x"),
            ("a body", post, "1\r\nx\r\n"),
        ];
        let mut tasks = Vec::new();
        for (name, first, then) in cases {
            for (repeats, pause) in [(1, Duration::from_millis(50)), (1000, Duration::ZERO)] {
                tasks.push(spawn_local(async move {
                    let mut caller = Caller::connect(address).await;
                    caller.send(first).await;
                    let start = Instant::now();
                    while caller.try_send(&then.repeat(repeats)).await {
                        assert!(start.elapsed() < CLOSE_TIME, "{name}");
                        sleep(pause).await;
                    }
                }));
            }
        }
        for task in tasks {
            task.await.expect("no failure");
        }
    });
}
