//! The listening server and its threads.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use super::handler::Shared;
use super::options::Options;

/// a running stand-in; stops when dropped
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    listener: Arc<tiny_http::Server>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// listens and serves from threads of its own
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(options: &Options) -> io::Result<Server> {
        let listener = tiny_http::Server::http(options.listen).map_err(io::Error::other)?;
        let address = listener.server_addr().to_ip();
        let address = address.ok_or_else(|| io::Error::other("no IP address"))?;
        let listener = Arc::new(listener);
        let shared = Arc::new(Shared::new(options));
        let acceptor = {
            let listener = Arc::clone(&listener);
            let shared = Arc::clone(&shared);
            thread::spawn(move || accept(&listener, &shared))
        };
        Ok(Server {
            address,
            shared,
            listener,
            acceptor: Some(acceptor),
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// its base URL
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop();
        self.listener.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the thread has been printed already.
            drop(acceptor.join());
        }
    }
}

/// gives each call a thread, since a watch or a delay holds it for long
fn accept(listener: &tiny_http::Server, shared: &Arc<Shared>) {
    while !shared.is_stopped() {
        let Ok(request) = listener.recv() else {
            return;
        };
        let shared = Arc::clone(shared);
        thread::spawn(move || shared.handle(request));
    }
}
