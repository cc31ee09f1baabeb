//! Accepts requests and runs each on a thread of its own.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use super::Stop;

/// longest time between a stop and the close of the listening socket
const ACCEPT_POLL: Duration = Duration::from_millis(20);

/// a listening HTTP server; stops on drop
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// listens on `listen`, `ip:port`, until `stop` is set
    pub fn start<H>(listen: &str, stop: &Stop, handle: H) -> io::Result<Self>
    where
        H: Fn(Request) + Clone + Send + 'static,
    {
        let listener = without_delay(TcpListener::bind(listen)?)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let until = stop.clone();
        let thread = thread::Builder::new()
            .name("listener".to_owned())
            .spawn(move || accept(&server, &until, &handle))?;
        Ok(Self {
            address,
            stop: stop.clone(),
            thread: Some(thread),
        })
    }

    /// where it listens
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// sets TCP_NODELAY, which accepted connections inherit on Linux
fn without_delay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

fn accept<H>(server: &Server, stop: &Stop, handle: &H)
where
    H: Fn(Request) + Clone + Send + 'static,
{
    while !stop.is_set() {
        let Ok(Some(request)) = server.recv_timeout(ACCEPT_POLL) else {
            continue;
        };
        let handle = handle.clone();
        let _ = thread::Builder::new()
            .name("request".to_owned())
            .spawn(move || handle(request));
    }
}
