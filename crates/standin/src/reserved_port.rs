//! A reserved TCP port.
//!
//! A process that gets its address from its settings needs a port that no other process
//! takes before it listens or while it is down. A socket that is bound but does not
//! listen keeps the port from others; a listener with `SO_REUSEADDR`, the default of the
//! usual libraries, can still bind it. Connections are refused while there is none.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// a reserved IPv4 port, released on drop
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// reserves a free port of the loopback interface
    pub fn reserve() -> io::Result<Self> {
        Self::reserve_at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// reserves `address`; port 0 for any free port
    pub fn reserve_at(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// the reserved address
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
