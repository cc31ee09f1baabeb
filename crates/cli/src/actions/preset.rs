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
pub(super) fn choose(
    name: &str,
    source: Options<'_>,
    settings: &Settings,
) -> Result<String, Error> {
    let client = platform::client(settings)?;
    let outcome = config::select_preset(&client, name, source);
    let applied = match outcome.map_err(|error| platform::explain(&error))? {
        Outcome::Applied(edit) => Applied::new(&edit, name),
        Outcome::Conflict(edit) => return Err(platform::conflict(&edit)),
        Outcome::UnknownPreset => return Err(unknown(name, &client)),
    };
    output::render(&applied, settings.output)
}

fn unknown(name: &str, client: &store::Client) -> Error {
    let known = match platform::read(client) {
        Ok(revision) => Presets::of(&revision).names(),
        Err(error) => return error,
    };
    Error::Absent(format!("no preset {name} is declared; there are: {known}"))
}
