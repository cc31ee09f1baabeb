//! One forwarded connection.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// longest wait for the connection to the far end
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// both sockets of a forwarded connection
#[derive(Debug)]
pub struct Connection {
    /// number of freezes before it opened
    pub epoch: u64,
    client: TcpStream,
    server: TcpStream,
    loses_answer: AtomicBool,
    closed: AtomicBool,
}

impl Connection {
    /// connects a client to `to`
    pub fn open(client: TcpStream, to: SocketAddr, epoch: u64) -> io::Result<Self> {
        let server = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        Ok(Self {
            epoch,
            client,
            server,
            loses_answer: AtomicBool::new(false),
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

    /// true once closed
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// drops the answer that comes next
    pub fn lose_answer(&self) {
        self.loses_answer.store(true, Ordering::SeqCst);
    }

    /// true if the answer that comes next is dropped
    pub fn is_losing_answer(&self) -> bool {
        self.loses_answer.load(Ordering::SeqCst)
    }
}
