//! The listener for callers and its pool of workers.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, TrySendError, bounded};
use socket2::SockRef;

use crate::call;
use crate::context::Context;
use crate::fault::Fault;
use crate::http::{Bounds, Exchange};

/// stack of a worker thread, bytes
const STACK_BYTES: usize = 512 * 1024;
/// longest time that a write waits for a caller who does not read
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// when a caller may come back after all workers were busy
const BUSY_WAIT: Duration = Duration::from_secs(1);
/// threads that take requests from the listener
const ACCEPTORS: u32 = 2;

/// why the listener could not start
#[derive(Debug)]
pub enum Error {
    /// the address can't be listened on
    Listen(String),
    /// a thread can't be started
    Thread(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Listen(cause) => {
                write!(f, "The callers' address can't be listened on: {cause}.")
            }
            Error::Thread(cause) => write!(f, "A thread can't be started: {cause}."),
        }
    }
}

impl std::error::Error for Error {}

/// a bound listener for callers
pub struct Server {
    inner: Arc<tiny_http::Server>,
    address: SocketAddr,
    bounds: Bounds,
}

impl Server {
    /// listens on an address
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn bind(address: &str, bounds: Bounds) -> Result<Server, Error> {
        let listen = |error: io::Error| Error::Listen(error.to_string());
        let listener = TcpListener::bind(address).map_err(listen)?;
        inherit(&listener).map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let inner = tiny_http::Server::from_listener(listener, None)
            .map_err(|error| Error::Listen(error.to_string()))?;
        Ok(Server {
            inner: Arc::new(inner),
            address,
            bounds,
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// starts the workers; they answer until the process ends
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(&self, context: &Arc<Context>, workers: u32, waiting: u32) -> Result<(), Error> {
        let (sender, receiver) = bounded(waiting as usize);
        for number in 0..workers {
            let context = Arc::clone(context);
            let receiver = receiver.clone();
            let bounds = self.bounds;
            spawn(&format!("worker-{number}"), move || {
                work(&context, &receiver, bounds)
            })?;
        }
        for number in 0..ACCEPTORS {
            let inner = Arc::clone(&self.inner);
            let bounds = self.bounds;
            let sender = sender.clone();
            let context = Arc::clone(context);
            spawn(&format!("accept-{number}"), move || {
                while let Ok(request) = inner.recv() {
                    context.metrics.in_flight.inc();
                    match sender.try_send(request) {
                        Ok(()) => continue,
                        Err(TrySendError::Full(request)) => refuse(request, bounds),
                        Err(TrySendError::Disconnected(_)) => return,
                    }
                    context.metrics.in_flight.dec();
                }
            })?;
        }
        Ok(())
    }
}

/// sets on the listener what its connections inherit
fn inherit(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.set_keepalive(true)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    let builder = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES);
    builder.spawn(run).map(drop).map_err(Error::Thread)
}

fn work(context: &Context, requests: &Receiver<tiny_http::Request>, bounds: Bounds) {
    let _runtime = context.runtime.enter();
    for request in requests {
        if let Some(exchange) = Exchange::read(request, bounds) {
            call::answer(context, exchange);
        }
        context.metrics.in_flight.dec();
    }
}

fn refuse(request: tiny_http::Request, bounds: Bounds) {
    let message = "The daemon has too many requests in flight.";
    let fault = Fault::refused(503, "busy", message).after(BUSY_WAIT);
    if let Some(exchange) = Exchange::read(request, bounds) {
        exchange.fail(&fault);
    }
}
