//! `agateloom check`

use std::path::Path;

use super::declaration;
use crate::error::Error;
use crate::output::{self, Summary};
use crate::settings::Settings;

/// checks a declaration and prints a summary of it
pub(super) fn run(path: &Path, settings: &Settings) -> Result<String, Error> {
    let declaration = declaration::read(path)?;
    output::render(&Summary::of(&declaration), settings.output)
}
