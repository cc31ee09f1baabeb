use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jsonrpsee::core::middleware::RpcServiceBuilder;
use jsonrpsee::server::{
    HttpBody, HttpResponse, Methods, PingConfig, ServerConfig, ServerHandle, StopHandle,
    TowerServiceBuilder, serve_with_graceful_shutdown, stop_channel,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tower::Service;
use tower::layer::util::{Identity, Stack};

use super::MAX_MESSAGE_BYTES;
use super::guard::{GuardLayer, Keys};
use super::meter::{Handshake, Meter, Metered};

/// largest number of connections at a time
const MAX_CONNECTIONS: u32 = 2048;
/// time between WebSocket pings on a connection
const PING_PERIOD: Duration = Duration::from_secs(60);
/// time without a message or pong after which a connection is closed
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(150);
/// most connections without a valid key so far; a daemon that starts connects to all others at once,
/// and they to it
pub const MAX_PENDING: usize = 512;
/// time for the first request of a connection with a valid key
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// pause after a failed `accept`
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// server of the JSON-RPC methods on the control address
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

type Builder = TowerServiceBuilder<Stack<GuardLayer, Identity>, Identity>;

struct Acceptor {
    builder: Builder,
    methods: Methods,
    keys: Arc<Keys>,
    meter: Arc<Meter>,
    stop: StopHandle,
    max_pending: usize,
}

/// a connection without a valid key so far
struct Pending {
    connection: JoinHandle<()>,
    is_established: watch::Receiver<bool>,
}

impl Pending {
    /// whether it is still open and without a valid key
    fn is_current(&self) -> bool {
        !self.connection.is_finished() && !*self.is_established.borrow()
    }
}

impl Server {
    /// serves the methods on a listener, in the current runtime
    ///
    /// # Errors
    /// When the listener has no address.
    pub fn start(
        listener: TcpListener,
        methods: Methods,
        keys: Keys,
        meter: Arc<Meter>,
        max_pending: usize,
    ) -> std::io::Result<Server> {
        let address = listener.local_addr()?;
        let (stop, handle) = stop_channel();
        let acceptor = Acceptor {
            builder: builder(&meter),
            methods,
            keys: Arc::new(keys),
            meter,
            stop,
            max_pending,
        };
        tokio::spawn(acceptor.run(listener));
        Ok(Server { address, handle })
    }

    /// the local address of the listener
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// stops accepting connections and closes the open ones
    pub fn stop(&self) {
        // an error means that it was stopped before
        let _ = self.handle.stop();
    }
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        let mut pending: VecDeque<Pending> = VecDeque::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.clone().shutdown() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if pending.len() >= self.max_pending {
                        pending.retain(Pending::is_current);
                    }
                    // daemons send their key at once, so the oldest is not one of them
                    if pending.len() >= self.max_pending
                        && let Some(oldest) = pending.pop_front()
                    {
                        tracing::debug!(
                            pending = pending.len(),
                            "control connection closed: too many without a key"
                        );
                        oldest.connection.abort();
                        // lets it close before another one is accepted
                        tokio::task::yield_now().await;
                    }
                    pending.push_back(self.serve(stream));
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a control connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> Pending {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY on an accepted connection");
        }
        let handshake = Handshake::new();
        let stream = Metered::new(stream, self.meter.clone(), handshake.clone());
        let (established, mut is_established) = watch::channel(false);
        let is_known = is_established.clone();
        let builder = self.builder.clone();
        let methods = self.methods.clone();
        let keys = self.keys.clone();
        let stop = self.stop.clone();
        let service = tower::service_fn(move |mut request: http::Request<_>| {
            let role = keys.role(&request);
            let mut service = builder.clone().build(methods.clone(), stop.clone());
            if role.is_some() {
                handshake.complete();
                established.send_replace(true);
            }
            async move {
                let Some(role) = role else {
                    return Ok::<_, std::io::Error>(unauthorised());
                };
                request.extensions_mut().insert(role);
                service.call(request).await.map_err(std::io::Error::other)
            }
        });
        let stopped = self.stop.clone().shutdown();
        let connection = tokio::spawn(async move {
            let serving = serve_with_graceful_shutdown(stream, service, stopped);
            let late = async {
                let handshake = is_established.wait_for(|established| *established);
                let in_time = timeout(HANDSHAKE_TIMEOUT, handshake).await.is_ok();
                if in_time {
                    pending::<()>().await;
                }
            };
            tokio::select! {
                result = serving => if let Err(error) = result {
                    tracing::debug!(%error, "control connection ended with an error");
                },
                () = late => {
                    tracing::debug!("control connection closed: no request with a valid key in time");
                }
            }
        });
        Pending {
            connection,
            is_established: is_known,
        }
    }
}

fn builder(meter: &Arc<Meter>) -> Builder {
    let ping = PingConfig::new()
        .ping_interval(PING_PERIOD)
        .inactive_limit(INACTIVITY_TIMEOUT);
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .enable_ws_ping(ping)
        .build();
    let guard = GuardLayer {
        meter: meter.clone(),
    };
    jsonrpsee::server::Server::builder()
        .set_config(config)
        .set_rpc_middleware(RpcServiceBuilder::new().layer(guard))
        .to_service_builder()
}

fn unauthorised() -> HttpResponse {
    let mut response = HttpResponse::new(HttpBody::from("The key is missing or wrong.\n"));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}
