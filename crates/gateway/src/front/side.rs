//! The small servers beside the callers' one: readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::peers::Peers;
use crate::seam::Dialect;
use crate::shared::Shared;

/// answers the balancer's question whether this daemon is ready
pub async fn ready<D: Dialect + 'static>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let answer = move |request: &Request<Incoming>| {
        if !shared.dialect.is_ready_check(request.uri().path()) {
            return (StatusCode::NOT_FOUND, String::new());
        }
        if shared.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    };
    side(listener, answer).await;
}

/// serves the counters and latencies
pub async fn metrics<D: Dialect>(shared: Rc<Shared<D>>, peers: Rc<Peers>, listener: TcpListener) {
    let answer = move |_: &Request<Incoming>| {
        let states = &shared.metrics.states;
        let set = |name: &str, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            states.with_label_values(&[name]).set(value);
        };
        set(
            "config_version",
            shared.config().map_or(0, |config| config.version),
        );
        let age = shared.config_age();
        set(
            "config_age_ms",
            age.map_or(u64::MAX, |age| age.as_millis() as u64),
        );
        set("vms", shared.vms.borrow().len() as u64);
        set("daemons", shared.daemons.get() as u64);
        set("connections_opened", shared.pool.opened());
        let (sent, received) = peers.traffic();
        set("peer_bytes_sent", sent);
        set("peer_bytes_received", received);
        set("ready", u64::from(shared.is_ready()));
        (StatusCode::OK, shared.metrics.text())
    };
    side(listener, answer).await;
}

async fn side<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request<Incoming>) -> (StatusCode, String) + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let answer = Rc::clone(&answer);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = answer(&request);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(event = "side_connection_ended", %error);
            }
        });
    }
}
