//! `agateloom preset`

use store::config::{self, Options, Outcome};

use super::platform;
use crate::error::Error;
use crate::output::{self, Applied, Presets};
use crate::settings::Settings;

/// lists the presets of the declaration in force
pub(super) fn list(settings: &Settings) -> Result<String, Error> {
    let revision = platform::read(&platform::client(settings)?)?;
    output::render(&Presets::of(&revision), settings.output)
}

/// puts another preset in force
pub(super) fn activate(
    name: &str,
    options: Options<'_>,
    settings: &Settings,
) -> Result<String, Error> {
    let client = platform::client(settings)?;
    let outcome = config::select_preset(&client, name, options);
    let applied = match outcome.map_err(|error| platform::change_error(&error))? {
        Outcome::Applied(edit) => Applied::new(&edit, name),
        Outcome::Conflict(edit) => return Err(platform::conflict_error(&edit)),
        Outcome::UnknownPreset => return Err(unknown_preset(name, &client)),
    };
    output::render(&applied, settings.output)
}

fn unknown_preset(name: &str, client: &store::Client) -> Error {
    let declared = match platform::read(client) {
        Ok(revision) => Presets::of(&revision).names(),
        Err(error) => return error,
    };
    Error::NotFound(format!(
        "preset {name} is not declared; declared presets: {declared}"
    ))
}
