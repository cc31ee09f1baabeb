//! Hands a command to its action.

use super::{check, completion, drain, key, status, trace};
use crate::args::{Command, Key};
use crate::error::Error;
use crate::settings::Settings;

/// does what the command asks for and gives the text to print
///
/// # Errors
/// When it fails; the error says whether something may have changed.
pub fn run(command: &Command, settings: &Settings) -> Result<String, Error> {
    match command {
        Command::Check { path, .. } => check::run(path, settings),
        Command::Apply { .. } | Command::Get { .. } | Command::Preset { .. } => {
            Err(Error::Failed("not wired to the store yet".to_owned()))
        }
        Command::Status { .. } => status::run(settings),
        Command::Drain { vm, .. } => drain::run(vm, settings),
        Command::Trace { id, .. } => trace::run(id, settings),
        Command::Key {
            key: Key::New { .. },
        } => key::run(settings),
        Command::Completion { shell } => completion::run(*shell),
    }
}
