//! Reads a declaration from a file or from all YAML files of a folder.

use std::fs;
use std::path::{Path, PathBuf};

use schema::check;
use schema::config::Declaration;
use schema::yaml::{self, Source};

use crate::error::Error;

/// reads and checks a declaration
pub(super) fn read(path: &Path) -> Result<Declaration, Error> {
    let declaration = if path.is_dir() {
        read_folder(path)?
    } else {
        read_file(path)?
    };
    check::declaration(&declaration).map_err(Error::InvalidDeclaration)?;
    Ok(declaration)
}

fn read_file(path: &Path) -> Result<Declaration, Error> {
    let yaml = read_text(path)?;
    yaml::parse_declaration(&yaml, &path.to_string_lossy()).map_err(Error::ParseDeclaration)
}

fn read_folder(folder: &Path) -> Result<Declaration, Error> {
    let mut files = Vec::new();
    for path in yaml_files(folder)? {
        files.push((path.to_string_lossy().into_owned(), read_text(&path)?));
    }
    if files.is_empty() {
        return Err(Error::NotFound(format!(
            "{} contains no .yaml or .yml file",
            folder.display()
        )));
    }
    let sources: Vec<Source<'_>> = files
        .iter()
        .map(|(file, text)| Source { file, text })
        .collect();
    yaml::merge_files(&sources).map_err(Error::ParseDeclaration)
}

/// YAML files of a folder, sorted by name, without hidden files and subfolders
fn yaml_files(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let read_error = |error| Error::File(folder.to_owned(), error);
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.is_file() && is_yaml(&path) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn is_yaml(path: &Path) -> bool {
    let is_hidden = path
        .file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with('.'));
    let has_yaml_extension = path
        .extension()
        .is_some_and(|extension| extension == "yaml" || extension == "yml");
    has_yaml_extension && !is_hidden
}

fn read_text(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))
}
