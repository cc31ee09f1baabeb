use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::socket::{setsockopt, sockopt};
use route::drain::BALANCER_DELAY;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

use super::connection;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// connections waiting to be accepted; when a daemon fails, all its callers reconnect at once
const BACKLOG: u32 = 1024;

/// share of the file descriptors available to caller connections
const CALLER_DESCRIPTOR_SHARE: f64 = 0.6;

/// memory of a connection that waits for its first request: 10.9 kB, measured with 2,400 of them, and
/// rounded down so that 4,100 descriptors allow no fewer connections on the smallest machine (160 MB)
const CONNECTION_BYTES: usize = 10 * 1024;

/// time after which a connection with unacknowledged bytes is closed
const TCP_USER_TIMEOUT_MS: u32 = 10_000;

/// delay after a failed accept; descriptors usually become free within this time
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// binds a listening socket
///
/// # Errors
/// When the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// accepts caller connections until the load balancer sends none to a draining daemon
pub async fn callers<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let mut stage = shared.stage.subscribe();
    let drained = async {
        // fails only if the shared state was dropped, and with it all connections
        let _ = stage.wait_for(|stage| stage.drain().is_some()).await;
        sleep(BALANCER_DELAY).await;
    };
    tokio::select! {
        () = accept(&shared, &listener) => {}
        () = drained => tracing::info!(event = "callers_closed"),
    }
}

/// most connections of callers, by descriptors and by memory
fn max_connections<D: Dialect>(shared: &Shared<D>) -> usize {
    let by_descriptors = shared.settings.descriptors as f64 * CALLER_DESCRIPTOR_SHARE;
    let by_memory = shared.memory.capacity().connections(CONNECTION_BYTES);
    by_memory.min(by_descriptors as usize)
}

/// counts and logs a connection that is not accepted
fn turn_away<D: Dialect>(shared: &Shared<D>, reason: &'static str) {
    let closed = &shared.metrics.closed;
    closed.with_label_values(&["callers", reason]).inc();
    let Some(left_out) = shared.permit_log("caller_turned_away") else {
        return;
    };
    tracing::warn!(
        event = "caller_turned_away",
        reason,
        connections = shared.caller_connections.get(),
        held_bytes = shared.memory.held(),
        left_out,
    );
}

async fn accept<D: Dialect>(shared: &Rc<Shared<D>>, listener: &TcpListener) {
    let max_connections = max_connections(shared);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // a new caller takes the place of one that has sent nothing for a second
        let is_full = shared.caller_connections.get() >= max_connections;
        if is_full && !shared.memory.end_stalled() {
            turn_away(shared, "connections");
            continue;
        }
        let hold = shared.memory.open();
        let Ok(charge) = hold.try_charge(CONNECTION_BYTES) else {
            turn_away(shared, "no_memory");
            continue;
        };
        let options = [
            stream.set_nodelay(true).map_err(|error| error.to_string()),
            setsockopt(&stream, sockopt::TcpUserTimeout, &TCP_USER_TIMEOUT_MS)
                .map_err(|error| error.to_string()),
        ];
        for error in options.into_iter().filter_map(Result::err) {
            tracing::debug!(event = "socket_option_refused", error);
        }
        let shared = Rc::clone(shared);
        shared
            .caller_connections
            .set(shared.caller_connections.get() + 1);
        tokio::task::spawn_local(async move {
            connection::run(Rc::clone(&shared), stream, hold).await;
            drop(charge);
            shared
                .caller_connections
                .set(shared.caller_connections.get() - 1);
        });
    }
}
