//! HTTP server of the object API.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::handler::Shared;
use super::options::Options;
use crate::http::{Listener, Stop};

/// a running object API; stops on drop
pub struct Server {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Server {
    /// starts an object API that handles each call on its own thread, since watches and
    /// injected delays block it for long
    ///
    /// # Errors
    /// If it can't listen on the address.
    pub fn start(options: &Options) -> io::Result<Server> {
        let shared = Arc::new(Shared::new(options));
        let handler = Arc::clone(&shared);
        let handle = move |request| handler.handle(request);
        let listener = Listener::start(&options.listen.to_string(), &Stop::default(), handle)?;
        Ok(Server { listener, shared })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// its base URL
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop();
    }
}
