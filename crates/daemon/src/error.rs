//! Errors that end the daemon.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// error that ends the daemon
#[derive(Debug)]
pub enum Error {
    /// a file can't be read
    File(PathBuf, io::Error),
    /// the settings or arguments are invalid
    Settings(String),
    /// the node can't start or join its peers
    Node(peer::Error),
    /// the server for callers can't start
    Server(entry::Error),
    /// a thread, runtime or other resource of the system is unavailable
    System(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => write!(f, "can't read {}: {error}", path.display()),
            Error::Settings(text) => write!(f, "{text}"),
            Error::Node(error) => write!(f, "{error}"),
            Error::Server(error) => write!(f, "{error}"),
            Error::System(error) => write!(
                f,
                "can't create a thread or another system resource: {error}"
            ),
        }
    }
}

impl std::error::Error for Error {}
