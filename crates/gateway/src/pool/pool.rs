use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap};
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::transport::{Allowance, Transport};
use super::{Body, Error, Timeouts};
use crate::clock::Clock;

/// maximum number of idle connections to one address
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// time after which a connection with unacknowledged bytes is closed; in a network
/// partition the kernel would otherwise retransmit for a quarter of an hour
const TCP_USER_TIMEOUT_MS: u32 = 4000;

/// fraction of the time-out in a server's `Keep-Alive` header for which its connection is
/// reused, so that a request is not sent while the server closes the connection
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// buffer of a connection: limits the head of a response and the part of a body that is passed on at
/// once, several of which wait for a caller that does not read
const BUFFER_BYTES: usize = 64 * 1024;

/// an open connection, and what may be received on it
struct Channel {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    opened_at: Instant,
}

/// an idle connection
struct Idle {
    channel: Channel,
    since: Instant,
    max_idle: Duration,
}

/// pool of idle connections by address
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
    clock: Clock,
    this: Weak<Pool>,
}

/// a connection in use, to be released once the response has been read to the end
///
/// Dropped before that, the connection is closed, so that the server stops the request.
pub struct Connection {
    channel: Channel,
    address: SocketAddr,
    max_idle: Duration,
    pool: Weak<Pool>,
}

/// a response whose body is still to be read, and its connection
pub struct Exchange {
    /// head and body of the response
    pub response: Response<Body>,
    /// the connection to release after the body
    pub connection: Connection,
    /// whether no earlier request was sent on the connection
    pub is_first: bool,
}

impl Pool {
    /// creates an empty pool
    pub fn new() -> Rc<Pool> {
        Rc::new_cyclic(|this| Pool {
            idle: RefCell::default(),
            opened: Cell::default(),
            clock: Clock::start(),
            this: this.clone(),
        })
    }

    /// total number of connections opened
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// sends a request and waits for the head of its response
    ///
    /// It is sent only if `is_wanted` still holds once there is a connection.
    ///
    /// # Errors
    /// The error states how far the request got.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
        is_wanted: impl Fn() -> bool,
    ) -> Result<Exchange, Error> {
        let mut request = request;
        while let Some(channel) = self.checkout(address, timeouts.idle) {
            match self.exchange(channel, address, request, false).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let channel = self.connect(address, timeouts.connect).await?;
        if !is_wanted() {
            return Err(Error::Withdrawn);
        }
        let result = self.exchange(channel, address, request, true).await;
        result.map_err(|(error, _)| error)
    }

    /// whether the process at an address has ended, so that its port refuses connections
    pub async fn is_refused(&self, address: SocketAddr, limit: Duration) -> bool {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// removes idle connections that are past their idle time or closed
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| {
                !idle.channel.sender.is_closed() && now < idle.since + idle.max_idle
            });
            !connections.is_empty()
        });
    }

    /// closes all idle connections to an address
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// removes a usable idle connection, the most recently used first
    fn checkout(&self, address: SocketAddr, idle_timeout: Duration) -> Option<Channel> {
        let mut idle_connections = self.idle.borrow_mut();
        let connections = idle_connections.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = connections.pop() {
            let max_idle = idle.max_idle.min(idle_timeout);
            let sender = &idle.channel.sender;
            if sender.is_ready() && !sender.is_closed() && now < idle.since + max_idle {
                return Some(idle.channel);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Channel, Error> {
        let failed = |error: std::io::Error| Error::Connect(error.to_string());
        let opened_at = self.clock.now();
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(result) => result.map_err(failed)?,
            Err(_) => return Err(Error::Connect("timed out".to_owned())),
        };
        self.opened.set(self.opened.get() + 1);
        stream.set_nodelay(true).map_err(failed)?;
        if let Err(error) = setsockopt(&stream, sockopt::TcpUserTimeout, &TCP_USER_TIMEOUT_MS) {
            tracing::debug!(event = "socket_option_refused", %address, %error);
        }
        let allowance = Allowance::new();
        let transport = Transport::new(stream, allowance.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(transport)).await;
        let (sender, connection) = handshake.map_err(|error| Error::Connect(error.to_string()))?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "connection_ended", %address, %error);
            }
        });
        Ok(Channel {
            sender,
            allowance,
            opened_at,
        })
    }

    /// sends a request on a connection; on failure returns the request if none of it was written
    async fn exchange(
        &self,
        mut channel: Channel,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_first: bool,
    ) -> Result<Exchange, (Error, Option<Request<Full<Bytes>>>)> {
        channel.allowance.limit_head();
        match channel.sender.try_send_request(request).await {
            Ok(response) => {
                channel.allowance.lift();
                let allowance = channel.allowance.clone();
                let response = response.map(|incoming| Body::new(incoming, allowance));
                let max_idle = max_idle_time(response.headers());
                let connection = Connection {
                    channel,
                    address,
                    max_idle,
                    pool: self.this.clone(),
                };
                Ok(Exchange {
                    response,
                    connection,
                    is_first,
                })
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err((Error::Unsent, Some(unsent))),
                None => Err((Error::Lost(describe(error.error())), None)),
            },
        }
    }
}

impl Connection {
    /// when it was opened, by a clock that includes suspension
    pub fn opened_at(&self) -> Instant {
        self.channel.opened_at
    }

    /// lets the connection be closed instead of returned to the pool
    pub fn retire(&mut self) {
        self.max_idle = Duration::ZERO;
    }

    /// returns the connection to the pool for the next request
    pub fn release(self) {
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        self.channel.allowance.limit_head();
        if self.max_idle.is_zero() || self.channel.sender.is_closed() {
            return;
        }
        let mut idle_connections = pool.idle.borrow_mut();
        let connections = idle_connections.entry(self.address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(Idle {
            channel: self.channel,
            since: Instant::now(),
            max_idle: self.max_idle,
        });
    }
}

/// text of an HTTP library error with its underlying cause
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// maximum idle time of the connection of a response; zero if it must not be reused
fn max_idle_time(headers: &HeaderMap) -> Duration {
    let connection = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let advertised = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            let mut parameters = value.split(',').map(str::trim);
            parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse::<u64>().ok())
        });
    match advertised {
        Some(seconds) => Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION),
        None => Timeouts::IDLE,
    }
}
