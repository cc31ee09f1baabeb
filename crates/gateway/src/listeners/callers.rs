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

async fn accept<D: Dialect>(shared: &Rc<Shared<D>>, listener: &TcpListener) {
    let max_connections = (shared.settings.descriptors as f64 * CALLER_DESCRIPTOR_SHARE) as usize;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if shared.caller_connections.get() >= max_connections {
            tracing::warn!(event = "caller_turned_away", connections = max_connections);
            continue;
        }
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
            connection::run(Rc::clone(&shared), stream).await;
            shared
                .caller_connections
                .set(shared.caller_connections.get() - 1);
        });
    }
}
