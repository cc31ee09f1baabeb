//! The error type of commands.

use std::fmt;
use std::io;
use std::path::PathBuf;

use schema::check::Fault;
use schema::yaml;

use super::exit::Exit;

/// why a command failed
#[derive(Debug)]
pub enum Error {
    /// an option or setting is missing or invalid
    Usage(String),
    /// a file could not be read
    File(PathBuf, io::Error),
    /// the settings file can't be parsed
    ParseSettings(yaml::Error),
    /// the settings have faults
    InvalidSettings(Vec<Fault>),
    /// the declaration can't be parsed
    ParseDeclaration(yaml::Error),
    /// the declaration has faults
    InvalidDeclaration(Vec<Fault>),
    /// a concurrent change came first
    Conflict(String),
    /// what the command refers to does not exist
    NotFound(String),
    /// the platform or daemon could not be reached, so nothing was changed
    Unreachable(String),
    /// no response, so the change may have been made
    OutcomeUnknown(String),
    /// the platform or daemon rejected the request
    Denied(String),
    /// any other failure
    Other(String),
}

impl Error {
    /// exit code of the process for this error
    #[must_use]
    pub fn exit_code(&self) -> Exit {
        match self {
            Error::Usage(_) | Error::ParseSettings(_) | Error::InvalidSettings(_) => Exit::Usage,
            Error::ParseDeclaration(_) | Error::InvalidDeclaration(_) => Exit::InvalidDeclaration,
            Error::Conflict(_) => Exit::Conflict,
            Error::Unreachable(_) => Exit::Unreachable,
            Error::OutcomeUnknown(_) => Exit::OutcomeUnknown,
            Error::File(..) | Error::NotFound(_) | Error::Denied(_) | Error::Other(_) => {
                Exit::Failure
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => write!(f, "can't read {}: {error}", path.display()),
            Error::ParseSettings(error) | Error::ParseDeclaration(error) => write!(f, "{error}"),
            Error::InvalidSettings(faults) => write_faults(f, "the settings", faults),
            Error::InvalidDeclaration(faults) => write_faults(f, "the declaration", faults),
            Error::Unreachable(cause) => write!(f, "{cause}; nothing was changed"),
            Error::OutcomeUnknown(cause) => {
                write!(
                    f,
                    "{cause}; the change may have been made, check with `get` or `status` before retrying"
                )
            }
            Error::Usage(text)
            | Error::Conflict(text)
            | Error::NotFound(text)
            | Error::Denied(text)
            | Error::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

fn write_faults(f: &mut fmt::Formatter<'_>, what: &str, faults: &[Fault]) -> fmt::Result {
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    write!(f, "{} {noun} in {what}", faults.len())?;
    for fault in faults {
        write!(f, "\n  {fault}")?;
    }
    Ok(())
}
