//! Exit codes.

use std::process::ExitCode;

use macro_rules_attribute::apply;

/// exit code of the process, documented for scripts
#[apply(schema::value!)]
#[repr(u8)]
pub enum Exit {
    /// success
    Success = 0,
    /// any other failure
    Failure = 1,
    /// the command line or the settings file is invalid
    Usage = 2,
    /// the declaration has faults; nothing was changed
    InvalidDeclaration = 3,
    /// a concurrent change came first; nothing was changed
    Conflict = 4,
    /// the platform or the daemon could not be reached; nothing was changed
    Unreachable = 5,
    /// no response; the change may have been made
    OutcomeUnknown = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
