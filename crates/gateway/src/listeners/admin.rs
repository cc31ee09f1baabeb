//! HTTP servers for readiness checks and metrics.

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
use tokio::time::sleep;

use crate::adapter::Dialect;
use crate::peers::Peers;
use crate::shared::Shared;

/// time for the head of a request, and time after which an idle connection is closed
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// maximum size of the head of a request
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// pause after a failed accept
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// answers the load balancer's readiness checks
pub async fn readiness<D: Dialect + 'static>(shared: Rc<Shared<D>>, listener: TcpListener) {
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
    serve_text(listener, respond).await;
}

/// serves the metrics in text format
pub async fn metrics<D: Dialect>(shared: Rc<Shared<D>>, peers: Rc<Peers>, listener: TcpListener) {
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
        let (sent, received) = peers.traffic();
        set_gauge("peer_bytes_sent", sent);
        set_gauge("peer_bytes_received", received);
        set_gauge("ready", u64::from(shared.is_ready()));
        (StatusCode::OK, shared.metrics.text())
    };
    serve_text(listener, respond).await;
}

/// serves a text response to each request
async fn serve_text<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> (StatusCode, String) + 'static,
{
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
        let respond = Rc::clone(&respond);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = respond(&request);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(event = "side_connection_ended", %error);
            }
        });
    }
}
