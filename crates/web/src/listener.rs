use std::io;
use std::net::{self, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

use crate::connection::{self, Callbacks};
use crate::fallback::Fallback;
use crate::request::Request;

/// delay after a failed accept; file descriptors are usually released within it
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// time timeouts for callers
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// time for the head of a request, and the time after which an idle connection is closed
    pub head: Duration,
    /// time for a body, from when the handler starts to read it
    pub body: Duration,
    /// time without progress while a response is written
    pub write: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            // a minute is common for HTTP servers
            head: Duration::from_secs(60),
            body: Duration::from_secs(20),
            write: Duration::from_secs(20),
        }
    }
}

/// a bound socket that does not accept connections yet
#[derive(Debug)]
pub struct Listener {
    socket: net::TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// binds an address, `ip:port`
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(address: &str) -> io::Result<Listener> {
        let socket = net::TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        // accepted connections inherit these options
        let options = SockRef::from(&socket);
        options.set_tcp_nodelay(true)?;
        options.set_keepalive(true)?;
        let address = socket.local_addr()?;
        Ok(Listener { socket, address })
    }

    /// bound address
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// accepts connections on a new thread, which calls `handle`; the handler must not block
    ///
    /// # Errors
    /// When the event loop or its thread can't be started.
    pub fn start<H>(self, timeouts: Timeouts, handle: H, fallback: Fallback) -> io::Result<Server>
    where
        H: Fn(Request) + Clone + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (shutdown, receiver) = watch::channel(None);
        let Listener { socket, address } = self;
        let run = move || {
            let serving = async {
                let socket = TcpListener::from_std(socket)?;
                let callbacks = Callbacks { handle, fallback };
                serve(socket, timeouts, callbacks, receiver).await;
                io::Result::Ok(())
            };
            if let Err(error) = LocalSet::new().block_on(&runtime, serving) {
                tracing::error!(event = "listener_failed", %address, %error);
            }
        };
        let thread = thread::Builder::new()
            .name("listener".to_owned())
            .spawn(run)?;
        Ok(Server {
            address,
            shutdown,
            thread: Some(thread),
        })
    }
}

/// accepts connections until the shutdown, then waits for them to finish
async fn serve<H>(
    socket: TcpListener,
    timeouts: Timeouts,
    callbacks: Callbacks<H>,
    mut shutdown: watch::Receiver<Option<Duration>>,
) where
    H: Fn(Request) + Clone + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            // an error means that the listener was dropped
            _ = shutdown.changed() => break,
            Some(_) = connections.join_next() => {}
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => {
                    let run = connection::run(stream, timeouts, callbacks.clone(), shutdown.clone());
                    connections.spawn_local(run);
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
    drop(socket);
    let grace = shutdown.borrow().unwrap_or_default();
    let finished = async { while connections.join_next().await.is_some() {} };
    if timeout(grace, finished).await.is_err() {
        tracing::info!(event = "callers_cut", connections = connections.len());
    }
}

/// a running server; dropping it closes its socket and all connections
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shutdown: watch::Sender<Option<Duration>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// bound address
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// shuts down gracefully: closes idle connections and gives responses in flight this time
    ///
    /// Half of it is for handlers, after which the listener answers in their place.
    pub fn shut_down(self, grace: Duration) {
        self.shutdown.send_replace(Some(grace));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.send_if_modified(|grace| {
            let first = grace.is_none();
            grace.get_or_insert_default();
            first
        });
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!(event = "listener_failed", address = %self.address, error = "panic");
        }
    }
}
