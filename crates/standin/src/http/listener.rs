//! Accepts requests and handles each on its own thread.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use http::Response;
use web::{Fallback, Malformed, Request, Timeouts};

use super::Stop;

/// responses without the handler; a stand-in ends without a graceful shutdown
const FALLBACK: Fallback = Fallback {
    malformed,
    interrupted: || Response::new(Vec::new()),
};

/// a listening HTTP server; stops on drop
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: Stop,
    close_thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// listens on `listen` (`ip:port`) until `stop` is set
    pub fn start<H>(listen: &str, stop: &Stop, handle: H) -> io::Result<Self>
    where
        H: Fn(Request) + Clone + Send + 'static,
    {
        let spawn_handler = move |request| {
            let handle = handle.clone();
            let builder = thread::Builder::new().name("request".to_owned());
            if let Err(error) = builder.spawn(move || handle(request)) {
                tracing::error!(event = "request_dropped", %error);
            }
        };
        let server =
            web::Listener::bind(listen)?.start(Timeouts::default(), spawn_handler, FALLBACK)?;
        let address = server.address();
        let stopped = stop.clone();
        let close_thread = thread::Builder::new()
            .name("closer".to_owned())
            .spawn(move || {
                stopped.wait();
                drop(server);
            })?;
        Ok(Self {
            address,
            stop: stop.clone(),
            close_thread: Some(close_thread),
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn malformed(_: Malformed) -> Vec<u8> {
    b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_vec()
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(close_thread) = self.close_thread.take()
            && close_thread.join().is_err()
        {
            tracing::error!(event = "listener_failed", address = %self.address, error = "panic");
        }
    }
}
