//! Dispatches commands to their actions.

use store::config::Options;

use super::{apply, check, completion, drain, get, key, preset, status, trace};
use crate::args::{Change, Command, Key, Preset};
use crate::error::Error;
use crate::settings::Settings;

/// runs a command and returns the text to print
///
/// # Errors
/// When the command fails; the error tells whether a change may have been made.
pub fn run(command: &Command, settings: &Settings) -> Result<String, Error> {
    match command {
        Command::Check { path, .. } => check::run(path, settings),
        Command::Apply { change, path, .. } => apply::run(path, change_options(change), settings),
        Command::Get { .. } => get::run(settings),
        Command::Preset {
            preset: Preset::List { .. },
        } => preset::list(settings),
        Command::Preset {
            preset: Preset::Use { change, name, .. },
        } => preset::activate(name, change_options(change), settings),
        Command::Status { .. } => status::run(settings),
        Command::Drain { vm, .. } => drain::run(vm, settings),
        Command::Trace { id, .. } => trace::run(id, settings),
        Command::Key {
            key: Key::New { .. },
        } => key::run(settings),
        Command::Completion { shell } => completion::run(*shell),
    }
}

/// options of a change, from the command line
fn change_options(change: &Change) -> Options<'_> {
    Options {
        author: &change.author,
        expected_revision: change.expect,
    }
}
