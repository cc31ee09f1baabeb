//! Settings of one object API.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bpaf::Bpaf;

/// settings of one object API
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(parser))]
pub struct Options {
    /// address to listen on, `ip:port`; port 0 for any free port
    #[bpaf(argument("ADDRESS"), fallback(any_loopback_port()))]
    pub(crate) listen: SocketAddr,
    /// delay before a call takes effect, milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    pub(crate) delay_ms: u64,
    /// maximum rate of changes per second; 0 for no limit
    #[bpaf(argument("N"), fallback(0))]
    pub(crate) writes_per_second: u32,
    /// maximum rate of reads and watches per second; 0 for no limit
    #[bpaf(argument("N"), fallback(0))]
    pub(crate) reads_per_second: u32,
    /// bearer token that calls must carry
    #[bpaf(argument("TOKEN"))]
    pub(crate) token: Option<String>,
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: any_loopback_port(),
            delay_ms: 0,
            writes_per_second: 0,
            reads_per_second: 0,
            token: None,
        }
    }
}

impl Options {
    /// sets the address to listen on
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// sets the delay before a call takes effect
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self
    }

    /// sets the maximum rate of changes per second; 0 for no limit
    pub fn writes_per_second(mut self, limit: u32) -> Self {
        self.writes_per_second = limit;
        self
    }

    /// sets the maximum rate of reads and watches per second; 0 for no limit
    pub fn reads_per_second(mut self, limit: u32) -> Self {
        self.reads_per_second = limit;
        self
    }

    /// sets the bearer token that calls must carry
    pub fn token(mut self, token: &str) -> Self {
        self.token = Some(token.to_owned());
        self
    }
}
