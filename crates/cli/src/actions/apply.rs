//! `agateloom apply`

use std::path::Path;

use store::config::{self, Options, Outcome};

use super::{declaration, platform};
use crate::error::Error;
use crate::output::{self, Applied};
use crate::settings::Settings;

/// checks a declaration and puts it in force
pub(super) fn run(path: &Path, options: Options<'_>, settings: &Settings) -> Result<String, Error> {
    let declaration = declaration::read(path)?;
    let client = platform::client(settings)?;
    let outcome = config::apply(&client, &declaration, options);
    let applied = match outcome.map_err(|error| platform::change_error(&error))? {
        Outcome::Applied(edit) => Applied::new(&edit, &declaration.preset),
        Outcome::Conflict(edit) => return Err(platform::conflict_error(&edit)),
        Outcome::UnknownPreset => {
            return Err(Error::Other(format!(
                "preset {} is not declared",
                declaration.preset
            )));
        }
    };
    output::render(&applied, settings.output)
}
