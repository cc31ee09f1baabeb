use std::time::Duration;

/// how a request uses connections
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// longest time to make a connection
    pub connect: Duration,
    /// longest idle time after which a connection is used again
    pub reuse: Duration,
}

impl Limits {
    /// longest time to make a connection: two lost packets on the link between regions
    pub const CONNECT: Duration = Duration::from_millis(700);

    /// longest idle time; servers commonly close idle connections after five seconds
    pub const REUSE: Duration = Duration::from_millis(4000);

    /// idle time for requests that may not be repeated: a connection that its server
    /// closes just then would leave open whether the request ran
    pub const REUSE_UNREPEATABLE: Duration = Duration::from_millis(1500);
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Limits::CONNECT,
            reuse: Limits::REUSE,
        }
    }
}
