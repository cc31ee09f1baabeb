//! Declarations split over several files.

use serde::Deserialize;

use super::error::{Error, Location};
use super::parse::parse;
use crate::config::{Declaration, Preset, Service, Upstream, Workspace};

/// the text of one file
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// name of the file, for error messages
    pub file: &'a str,
    /// content of the file
    pub text: &'a str,
}

/// the sections of a declaration that one file contains; each is optional
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PartialDeclaration {
    services: Vec<Service>,
    upstreams: Vec<Upstream>,
    workspaces: Vec<Workspace>,
    presets: Vec<Preset>,
    preset: Option<String>,
}

/// parses a declaration from several files and concatenates their lists in the given order
///
/// # Errors
/// When a file can't be parsed, or unless exactly one file names the preset in force.
pub fn merge_files(sources: &[Source<'_>]) -> Result<Declaration, Error> {
    let mut merged = PartialDeclaration::default();
    for source in sources {
        let part: PartialDeclaration = parse(source.text, source.file)?;
        merged.services.extend(part.services);
        merged.upstreams.extend(part.upstreams);
        merged.workspaces.extend(part.workspaces);
        merged.presets.extend(part.presets);
        if merged.preset.is_some() && part.preset.is_some() {
            return Err(preset_error(
                source.file,
                "already named in an earlier file; exactly one file may name the preset in force",
            ));
        }
        merged.preset = merged.preset.or(part.preset);
    }
    let Some(preset) = merged.preset else {
        let files: Vec<&str> = sources.iter().map(|source| source.file).collect();
        return Err(preset_error(
            &files.join(", "),
            "no file names the preset in force",
        ));
    };
    Ok(Declaration {
        services: merged.services,
        upstreams: merged.upstreams,
        workspaces: merged.workspaces,
        presets: merged.presets,
        preset,
    })
}

fn preset_error(file: &str, message: &str) -> Error {
    Error::Value {
        location: Location {
            file: file.to_owned(),
            position: None,
        },
        path: "preset".to_owned(),
        message: message.to_owned(),
    }
}
