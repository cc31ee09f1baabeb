use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use nix::sys::socket::{setsockopt, sockopt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{Fault, Limits};

/// most idle connections kept to one address
const IDLE_PER_ADDRESS: usize = 16;

/// time after which unacknowledged bytes end a connection, milliseconds: a partition
/// answers nothing, and without it the kernel keeps trying for a quarter of an hour
const UNACKNOWLEDGED_MS: u32 = 4000;

/// part of the time in a server's `Keep-Alive` header after which its connection is not
/// used again, so that the request does not cross the server's close
const KEEP_ALIVE_PART: f64 = 0.7;

type Sender = SendRequest<Full<Bytes>>;

/// an idle connection
struct Idle {
    sender: Sender,
    since: Instant,
    keep: Duration,
}

/// connections by address
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
    me: Weak<Pool>,
}

/// the right to give a connection back once its answer has been read to the end
///
/// Dropped before that, the connection is closed, which tells the server to stop.
pub struct Lease {
    sender: Sender,
    address: SocketAddr,
    keep: Duration,
    pool: Weak<Pool>,
}

/// the head of an answer, its body to come, and the connection it comes on
pub struct Exchange {
    /// head and body of the answer
    pub response: Response<Incoming>,
    /// the connection
    pub lease: Lease,
}

impl Pool {
    /// a pool without connections
    pub fn new() -> Rc<Pool> {
        Rc::new_cyclic(|me| Pool {
            me: me.clone(),
            ..Pool::default()
        })
    }

    /// connections opened so far
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// sends a request and waits for the head of its answer
    ///
    /// # Errors
    /// The fault says how far the request got.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: Limits,
    ) -> Result<Exchange, Fault> {
        let mut request = request;
        while let Some(sender) = self.take(address, limits.reuse) {
            match self.exchange(sender, address, request).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) => request = unsent,
                Err((fault, None)) => return Err(fault),
            }
        }
        let sender = self.connect(address, limits.connect).await?;
        let result = self.exchange(sender, address, request).await;
        result.map_err(|(fault, _)| fault)
    }

    /// closes idle connections that are too old or ended
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| !idle.sender.is_closed() && now < idle.since + idle.keep);
            !list.is_empty()
        });
    }

    /// closes all idle connections to an address
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// an idle connection that can be used now, the latest used first
    fn take(&self, address: SocketAddr, reuse: Duration) -> Option<Sender> {
        let mut map = self.idle.borrow_mut();
        let list = map.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            let keep = idle.keep.min(reuse);
            if idle.sender.is_ready() && !idle.sender.is_closed() && now < idle.since + keep {
                return Some(idle.sender);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> Result<Sender, Fault> {
        let failed = |error: std::io::Error| Fault::Connect(error.to_string());
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(result) => result.map_err(failed)?,
            Err(_) => return Err(Fault::Connect("timed out".to_owned())),
        };
        self.opened.set(self.opened.get() + 1);
        stream.set_nodelay(true).map_err(failed)?;
        if let Err(error) = setsockopt(&stream, sockopt::TcpUserTimeout, &UNACKNOWLEDGED_MS) {
            tracing::debug!(event = "socket_option_refused", %address, %error);
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| Fault::Connect(error.to_string()))?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "connection_ended", %address, %error);
            }
        });
        Ok(sender)
    }

    /// sends a request on a connection; gives it back if none of it was written
    async fn exchange(
        &self,
        mut sender: Sender,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, (Fault, Option<Request<Full<Bytes>>>)> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let keep = keep_time(response.headers());
                let lease = Lease {
                    sender,
                    address,
                    keep,
                    pool: self.me.clone(),
                };
                Ok(Exchange { response, lease })
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err((Fault::Unsent, Some(unsent))),
                None => Err((Fault::Lost(cause(error.error())), None)),
            },
        }
    }
}

impl Lease {
    /// gives the connection back for the next request
    pub fn give_back(self) {
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        if self.keep.is_zero() || self.sender.is_closed() {
            return;
        }
        let mut map = pool.idle.borrow_mut();
        let list = map.entry(self.address).or_default();
        if list.len() >= IDLE_PER_ADDRESS {
            list.remove(0);
        }
        list.push(Idle {
            sender: self.sender,
            since: Instant::now(),
            keep: self.keep,
        });
    }
}

/// the most specific cause of an error of the HTTP library
pub(crate) fn cause(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// how long the connection of an answer may be idle; zero if it is not to be used again
fn keep_time(headers: &HeaderMap) -> Duration {
    let connection = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            let mut words = value.split(',').map(str::trim);
            words.find_map(|word| word.strip_prefix("timeout=")?.parse::<u64>().ok())
        });
    match stated {
        Some(seconds) => Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_PART),
        None => Limits::REUSE,
    }
}
