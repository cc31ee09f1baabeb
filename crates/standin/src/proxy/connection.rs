//! One forwarded TCP connection.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// time limit for the connection to the server
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// both sockets of a forwarded connection
#[derive(Debug)]
pub struct Connection {
    /// number of freezes of the link before it was opened
    pub freeze_epoch: u64,
    client: TcpStream,
    server: TcpStream,
    drops_response: AtomicBool,
    closed: AtomicBool,
}

impl Connection {
    /// connects `client` to the server at `to`
    pub fn open(client: TcpStream, to: SocketAddr, freeze_epoch: u64) -> io::Result<Self> {
        let server = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        Ok(Self {
            freeze_epoch,
            client,
            server,
            drops_response: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        })
    }

    /// the client's socket
    pub fn client(&self) -> &TcpStream {
        &self.client
    }

    /// the server's socket
    pub fn server(&self) -> &TcpStream {
        &self.server
    }

    /// closes both sockets
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// whether it has been closed
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// requests that the next response is dropped
    pub fn drop_next_response(&self) {
        self.drops_response.store(true, Ordering::SeqCst);
    }

    /// whether the next response is to be dropped
    pub fn drops_next_response(&self) -> bool {
        self.drops_response.load(Ordering::SeqCst)
    }
}
