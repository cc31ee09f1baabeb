use std::fmt;

/// why a node could not start
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// a setting is missing or invalid
    Setting(&'static str),
    /// listening on the control address failed
    Listen {
        /// the address
        address: String,
        /// error of the operating system
        cause: String,
    },
    /// a method's name is already registered
    Method(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Setting(name) => write!(f, "The setting `{name}` is missing or invalid."),
            Error::Listen { address, cause } => {
                write!(
                    f,
                    "Cannot listen on the control address {address}: {cause}."
                )
            }
            Error::Method(cause) => write!(f, "Cannot register an RPC method: {cause}."),
        }
    }
}

impl std::error::Error for Error {}
