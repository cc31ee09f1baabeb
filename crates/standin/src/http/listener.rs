//! Accepts requests and runs each on a thread of its own.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use web::{Malformed, Request, Timeouts};

use super::Stop;

/// a listening HTTP server; stops on drop
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: Stop,
    closer: Option<JoinHandle<()>>,
}

impl Listener {
    /// listens on `listen`, `ip:port`, until `stop` is set
    pub fn start<H>(listen: &str, stop: &Stop, handle: H) -> io::Result<Self>
    where
        H: Fn(Request) + Clone + Send + 'static,
    {
        let on_thread = move |request| {
            let handle = handle.clone();
            let builder = thread::Builder::new().name("request".to_owned());
            if let Err(error) = builder.spawn(move || handle(request)) {
                tracing::error!(event = "request_dropped", %error);
            }
        };
        let running =
            web::Listener::bind(listen)?.start(Timeouts::default(), on_thread, malformed)?;
        let address = running.address();
        let until = stop.clone();
        let closer = thread::Builder::new()
            .name("closer".to_owned())
            .spawn(move || {
                until.wait();
                drop(running);
            })?;
        Ok(Self {
            address,
            stop: stop.clone(),
            closer: Some(closer),
        })
    }

    /// where it listens
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
        if let Some(closer) = self.closer.take()
            && closer.join().is_err()
        {
            tracing::error!(event = "listener_failed", address = %self.address, error = "panic");
        }
    }
}
