//! Hands a command to its action.

use store::config::Options;

use super::{apply, check, completion, drain, get, key, preset, status, trace};
use crate::args::{Change, Command, Key, Preset};
use crate::error::Error;
use crate::settings::Settings;

/// does what the command asks for and gives the text to print
///
/// # Errors
/// When it fails; the error says whether something may have changed.
pub fn run(command: &Command, settings: &Settings) -> Result<String, Error> {
    match command {
        Command::Check { path, .. } => check::run(path, settings),
        Command::Apply { change, path, .. } => apply::run(path, source(change), settings),
        Command::Get { .. } => get::run(settings),
        Command::Preset {
            preset: Preset::List { .. },
        } => preset::list(settings),
        Command::Preset {
            preset: Preset::Use { change, name, .. },
        } => preset::choose(name, source(change), settings),
        Command::Status { .. } => status::run(settings),
        Command::Drain { vm, .. } => drain::run(vm, settings),
        Command::Trace { id, .. } => trace::run(id, settings),
        Command::Key {
            key: Key::New { .. },
        } => key::run(settings),
        Command::Completion { shell } => completion::run(*shell),
    }
}

fn source(change: &Change) -> Options<'_> {
    Options {
        author: &change.author,
        expected_revision: change.expect,
    }
}
