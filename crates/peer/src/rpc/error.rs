use std::fmt;

use schema::failure::Verdict;

/// why a call to another daemon failed
#[derive(Debug, Clone, PartialEq)]
pub enum CallError {
    /// the parameters can't be encoded as JSON or exceed the size limit
    Encode(String),
    /// no connection could be opened
    Unreachable(String),
    /// the remote daemon rejected the call without running it
    Refused {
        /// code of the JSON-RPC error
        code: i32,
        /// its message
        message: String,
    },
    /// the method ran and returned an error
    Failed {
        /// code of the JSON-RPC error
        code: i32,
        /// its message
        message: String,
    },
    /// no response within the time-out
    Timeout,
    /// the connection broke before the response
    Disconnected(String),
    /// the response can't be decoded
    Decode(String),
}

impl CallError {
    /// whether the method may have run on the remote daemon
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Encode(_) | CallError::Unreachable(_) | CallError::Refused { .. } => {
                Verdict::NotRun
            }
            CallError::Timeout | CallError::Disconnected(_) => Verdict::MayHaveRun,
            CallError::Failed { .. } | CallError::Decode(_) => Verdict::Ran,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Encode(cause) => write!(f, "The call could not be encoded: {cause}."),
            CallError::Unreachable(cause) => write!(f, "The daemon is unreachable: {cause}."),
            CallError::Refused { code, message } => {
                write!(f, "The daemon refused the call: {message} (code {code}).")
            }
            CallError::Failed { code, message } => {
                write!(f, "The call failed on the daemon: {message} (code {code}).")
            }
            CallError::Timeout => f.write_str("The daemon did not answer in time."),
            CallError::Disconnected(cause) => {
                write!(f, "The connection broke before the answer: {cause}.")
            }
            CallError::Decode(cause) => write!(f, "The answer could not be read: {cause}."),
        }
    }
}

impl std::error::Error for CallError {}
