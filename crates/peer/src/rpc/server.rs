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
use tower::Service;
use tower::layer::util::{Identity, Stack};

use super::MESSAGE_BYTES;
use super::guard::{GuardLayer, Keys};
use super::meter::{Meter, Metered};

/// connections that are served at a time
const CONNECTIONS: u32 = 2048;
/// time between pings on an idle connection
const PING: Duration = Duration::from_secs(60);
/// silence after which a connection is closed
const SILENCE: Duration = Duration::from_secs(150);
/// pause after a connection could not be accepted
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// serves methods on the control address
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
    ) -> std::io::Result<Server> {
        let address = listener.local_addr()?;
        let (stop, handle) = stop_channel();
        let acceptor = Acceptor {
            builder: builder(&meter),
            methods,
            keys: Arc::new(keys),
            meter,
            stop,
        };
        tokio::spawn(acceptor.run(listener));
        Ok(Server { address, handle })
    }

    /// the address listened on
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// takes no more connections and closes those there are
    pub fn stop(&self) {
        // an error means that it has stopped before
        let _ = self.handle.stop();
    }
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.clone().shutdown() => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "no delay could not be set");
        }
        let stream = Metered::new(stream, self.meter.clone());
        let builder = self.builder.clone();
        let methods = self.methods.clone();
        let keys = self.keys.clone();
        let stop = self.stop.clone();
        let service = tower::service_fn(move |mut request: http::Request<_>| {
            let role = keys.role(&request);
            let mut service = builder.clone().build(methods.clone(), stop.clone());
            async move {
                let Some(role) = role else {
                    return Ok::<_, std::io::Error>(unauthorised());
                };
                request.extensions_mut().insert(role);
                service.call(request).await.map_err(std::io::Error::other)
            }
        });
        let stopped = self.stop.clone().shutdown();
        tokio::spawn(async move {
            if let Err(error) = serve_with_graceful_shutdown(stream, service, stopped).await {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
}

fn builder(meter: &Arc<Meter>) -> Builder {
    let ping = PingConfig::new()
        .ping_interval(PING)
        .inactive_limit(SILENCE);
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_BYTES)
        .max_response_body_size(MESSAGE_BYTES)
        .max_connections(CONNECTIONS)
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
