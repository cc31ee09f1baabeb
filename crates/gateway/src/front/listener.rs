use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

use super::connection;
use crate::seam::Dialect;
use crate::shared::Shared;
use crate::stage::Stage;

/// connections that wait to be accepted: callers of a failed daemon come all at once
const BACKLOG: u32 = 1024;

/// part of the descriptors that callers' connections may take
const CALLERS_PART: f64 = 0.6;

/// time for which a caller may leave bytes unacknowledged, milliseconds
const UNACKNOWLEDGED_MS: u32 = 10_000;

/// time after the order to stop in which callers are accepted: the balancer asks once a
/// second and takes a daemon out after two answers
const ACCEPT_LEAVING: Duration = Duration::from_millis(2800);

/// pause after a failed accept: descriptors come free within about this time
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// listens on an address
///
/// # Errors
/// When the address can't be listened on.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// accepts callers until a while after the order to stop
pub async fn serve<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let mut stage = shared.stage.subscribe();
    let left = async {
        // an error means that the state is gone, and with it all callers
        let _ = stage.wait_for(|stage| *stage == Stage::Leaving).await;
        sleep(ACCEPT_LEAVING).await;
    };
    tokio::select! {
        () = accept(&shared, &listener) => {}
        () = left => tracing::info!(event = "callers_closed"),
    }
}

async fn accept<D: Dialect>(shared: &Rc<Shared<D>>, listener: &TcpListener) {
    let most = (shared.settings.descriptors as f64 * CALLERS_PART) as usize;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if shared.caller_connections.get() >= most {
            tracing::warn!(event = "caller_turned_away", connections = most);
            continue;
        }
        let options = [
            stream.set_nodelay(true).map_err(|error| error.to_string()),
            setsockopt(&stream, sockopt::TcpUserTimeout, &UNACKNOWLEDGED_MS)
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
