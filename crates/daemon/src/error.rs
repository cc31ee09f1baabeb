//! Why the daemon can't run.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// why the daemon can't run
#[derive(Debug)]
pub enum Error {
    /// a file can't be read
    File(PathBuf, io::Error),
    /// the settings are wrong
    Settings(String),
    /// the daemon can't join the others
    Node(peer::Error),
    /// callers can't be served
    Server(entry::Error),
    /// the system gives no thread or runtime
    System(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => write!(f, "{} can't be read: {error}.", path.display()),
            Error::Settings(text) => write!(f, "{text}"),
            Error::Node(error) => write!(f, "{error}"),
            Error::Server(error) => write!(f, "{error}"),
            Error::System(error) => write!(f, "The system refused a thread: {error}."),
        }
    }
}

impl std::error::Error for Error {}
