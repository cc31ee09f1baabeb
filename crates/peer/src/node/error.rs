use std::fmt;

/// why a node could not start
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// a setting is missing or wrong
    Setting(&'static str),
    /// the control address can't be listened on
    Listen {
        /// the address
        address: String,
        /// what the system said
        cause: String,
    },
    /// two methods have one name
    Method(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Setting(name) => write!(f, "The setting `{name}` is missing or wrong."),
            Error::Listen { address, cause } => {
                write!(
                    f,
                    "The control address {address} can't be listened on: {cause}."
                )
            }
            Error::Method(cause) => write!(f, "A method can't be registered: {cause}."),
        }
    }
}

impl std::error::Error for Error {}
