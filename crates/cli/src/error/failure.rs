//! Why a command failed.

use std::fmt;
use std::io;
use std::path::PathBuf;

use schema::check::Fault;
use schema::text;

use super::exit::Exit;

/// why a command failed
#[derive(Debug)]
pub enum Error {
    /// an option or setting is missing or wrong
    Usage(String),
    /// a file could not be read
    File(PathBuf, io::Error),
    /// the settings file is wrong
    Settings(text::Error),
    /// the settings file has faults
    SettingsFaults(Vec<Fault>),
    /// the declaration can't be read
    Text(text::Error),
    /// the declaration has faults
    Faults(Vec<Fault>),
    /// another change came first
    Conflict(String),
    /// nothing is there to change or show
    Absent(String),
    /// the other side could not be reached, so nothing was changed
    Unreachable(String),
    /// no answer came, so the change may have been made
    Unknown(String),
    /// the other side refused
    Denied(String),
    /// something else
    Failed(String),
}

impl Error {
    /// the exit code to end with
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Error::Usage(_) | Error::Settings(_) | Error::SettingsFaults(_) => Exit::Usage,
            Error::Text(_) | Error::Faults(_) => Exit::Refused,
            Error::Conflict(_) => Exit::Conflict,
            Error::Unreachable(_) => Exit::Unreachable,
            Error::Unknown(_) => Exit::Unknown,
            Error::File(..) | Error::Absent(_) | Error::Denied(_) | Error::Failed(_) => {
                Exit::Failed
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => write!(f, "can't read {}: {error}", path.display()),
            Error::Settings(error) | Error::Text(error) => write!(f, "{error}"),
            Error::SettingsFaults(faults) => write_faults(f, "the settings of this tool", faults),
            Error::Faults(faults) => write_faults(f, "the declaration", faults),
            Error::Unreachable(cause) => write!(f, "{cause}; nothing was changed"),
            Error::Unknown(cause) => {
                write!(
                    f,
                    "{cause}; the change may have been made, look before trying again"
                )
            }
            Error::Usage(text)
            | Error::Conflict(text)
            | Error::Absent(text)
            | Error::Denied(text)
            | Error::Failed(text) => f.write_str(text),
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
