//! HTTP servers for readiness checks and metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::sleep;

use crate::adapter::Dialect;
use crate::peers::Peers;
use crate::shared::Shared;

/// time for the head of a request, and time after which an idle connection is closed
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// maximum size of the head of a request
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// share of the file descriptors available to the connections of one of these listeners
const DESCRIPTOR_SHARE: f64 = 0.02;

/// fewest connections of one of these listeners
const MIN_CONNECTIONS: usize = 16;

/// pause after a failed accept
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// answers the load balancer's readiness checks
pub async fn readiness<D: Dialect + 'static>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let owner = Rc::clone(&shared);
    let respond = move |request: &Request<Incoming>| {
        if !shared.dialect.is_readiness_check(request.uri().path()) {
            return (StatusCode::NOT_FOUND, String::new());
        }
        if shared.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    };
    serve_text(&owner, "readiness", listener, respond).await;
}

/// serves the metrics in text format
pub async fn metrics<D: Dialect>(shared: Rc<Shared<D>>, peers: Rc<Peers>, listener: TcpListener) {
    let owner = Rc::clone(&shared);
    let respond = move |_: &Request<Incoming>| {
        let gauges = &shared.metrics.states;
        let set_gauge = |name: &str, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauges.with_label_values(&[name]).set(value);
        };
        set_gauge(
            "config_version",
            shared.config().map_or(0, |config| config.version),
        );
        let age = shared.config_age();
        set_gauge(
            "config_age_ms",
            age.map_or(u64::MAX, |age| age.as_millis() as u64),
        );
        let quarantined = shared.quarantine.parts.borrow().len();
        set_gauge("quarantined_parts", quarantined as u64);
        let limited = shared.notices.table.borrow().limited();
        set_gauge("limited_vms", limited as u64);
        set_gauge("vms", shared.vms.borrow().len() as u64);
        set_gauge("daemons", shared.daemons.get() as u64);
        set_gauge("connections_opened", shared.pool.opened());
        let callers = shared.caller_connections.get();
        set_gauge("caller_connections", callers as u64);
        set_gauge("held_bytes", shared.memory.held() as u64);
        let capacity = shared.memory.capacity();
        if !capacity.is_unbounded() {
            set_gauge("held_bytes_limit", capacity.bytes() as u64);
        }
        let (sent, received) = peers.traffic();
        set_gauge("peer_bytes_sent", sent);
        set_gauge("peer_bytes_received", received);
        set_gauge("ready", u64::from(shared.is_ready()));
        (StatusCode::OK, shared.metrics.text())
    };
    serve_text(&owner, "metrics", listener, respond).await;
}

/// serves a text response to each request
///
/// There are few connections, and one more closes the oldest: a check takes milliseconds, so that
/// clients that only stay connected don't keep the load balancer out.
async fn serve_text<D, F>(shared: &Shared<D>, name: &'static str, listener: TcpListener, respond: F)
where
    D: Dialect,
    F: Fn(&Request<Incoming>) -> (StatusCode, String) + 'static,
{
    let share = shared.settings.descriptors as f64 * DESCRIPTOR_SHARE;
    let max_connections = (share as usize).max(MIN_CONNECTIONS);
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    let respond = Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.len() >= max_connections {
            open.retain(|connection| !connection.is_finished());
        }
        if open.len() >= max_connections
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
            let closed = &shared.metrics.closed;
            closed.with_label_values(&[name, "connections"]).inc();
            if let Some(left_out) = shared.permit_log("side_connection_closed") {
                tracing::info!(
                    event = "side_connection_closed",
                    listener = name,
                    connections = max_connections,
                    left_out,
                );
            }
            // lets the aborted task close its connection before another one is accepted
            yield_now().await;
        }
        let respond = Rc::clone(&respond);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = respond(&request);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        open.push_back(spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(event = "side_connection_ended", %error);
            }
        }));
    }
}
