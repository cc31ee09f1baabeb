//! A declaration kept in several files.

use serde::Deserialize;

use super::error::{Error, Place};
use super::read::read;
use crate::config::{Declaration, Preset, Service, Upstream, Workspace};

/// one file of several
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// name, for errors
    pub file: &'a str,
    /// what it holds
    pub text: &'a str,
}

/// what one file declares; any list may be left out
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Part {
    services: Vec<Service>,
    upstreams: Vec<Upstream>,
    workspaces: Vec<Workspace>,
    presets: Vec<Preset>,
    preset: Option<String>,
}

/// reads a declaration from several files: lists are concatenated in the given order
///
/// # Errors
/// When a file can't be read as a part, or not exactly one names the preset in force.
pub fn parts(sources: &[Source<'_>]) -> Result<Declaration, Error> {
    let mut whole = Part::default();
    for source in sources {
        let part: Part = read(source.text, source.file)?;
        whole.services.extend(part.services);
        whole.upstreams.extend(part.upstreams);
        whole.workspaces.extend(part.workspaces);
        whole.presets.extend(part.presets);
        if whole.preset.is_some() && part.preset.is_some() {
            return Err(preset_error(
                source.file,
                "named in an earlier file already",
            ));
        }
        whole.preset = whole.preset.or(part.preset);
    }
    let Some(preset) = whole.preset else {
        let files: Vec<&str> = sources.iter().map(|source| source.file).collect();
        return Err(preset_error(
            &files.join(", "),
            "no file names the preset in force",
        ));
    };
    Ok(Declaration {
        services: whole.services,
        upstreams: whole.upstreams,
        workspaces: whole.workspaces,
        presets: whole.presets,
        preset,
    })
}

fn preset_error(file: &str, message: &str) -> Error {
    Error::Value {
        place: Place {
            file: file.to_owned(),
            position: None,
        },
        path: "preset".to_owned(),
        message: message.to_owned(),
    }
}
