use std::time::Duration;

/// time limits for the connection of a request
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// time-out for establishing a connection
    pub connect: Duration,
    /// maximum idle time of a connection that is reused
    pub idle: Duration,
}

impl Timeouts {
    /// default connect time-out: allows for two lost packets on the link between regions
    pub const CONNECT: Duration = Duration::from_millis(700);

    /// default maximum idle time; servers commonly close idle connections after five seconds
    pub const IDLE: Duration = Duration::from_millis(4000);

    /// maximum idle time for requests that may not be repeated: if the server closes the
    /// connection while the request is sent, it stays unknown whether the request ran
    pub const IDLE_UNREPEATABLE: Duration = Duration::from_millis(1500);
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: Timeouts::CONNECT,
            idle: Timeouts::IDLE,
        }
    }
}
