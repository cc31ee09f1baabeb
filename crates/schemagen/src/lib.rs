//! Generates one Rust module per JSON Schema file.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use typify::{TypeSpace, TypeSpaceSettings};

/// why generation stopped
#[derive(Debug)]
pub enum Error {
    /// a file could not be read or written
    Io(PathBuf, io::Error),
    /// a schema file is not valid
    Schema(PathBuf, String),
    /// committed files differ from what the schemas give
    Stale(Vec<PathBuf>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Error::Schema(path, error) => write!(f, "{}: {error}", path.display()),
            Error::Stale(paths) => {
                let names: Vec<String> = paths.iter().map(|p| p.display().to_string()).collect();
                let names = names.join(", ");
                write!(f, "not up to date, run `cargo run -p schemagen`: {names}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// generates every module, or with `check` compares them with the committed ones
///
/// # Errors
/// When a schema is invalid, a file can't be accessed, or a module is stale.
pub fn run(check: bool) -> Result<(), Error> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let target = root.join("src/generated");
    let mut stale = Vec::new();
    let mut index = String::from("//! Types generated from the schema files; do not edit.\n\n");
    for source in sources(&root.join("schemas"))? {
        let name = stem(&source);
        index.push_str(&format!("pub mod {name};\n"));
        let text = module(&source)?;
        put(&target.join(format!("{name}.rs")), &text, check, &mut stale)?;
    }
    put(&target.join("mod.rs"), &index, check, &mut stale)?;
    if stale.is_empty() {
        Ok(())
    } else {
        Err(Error::Stale(stale))
    }
}

fn sources(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let entries = fs::read_dir(folder).map_err(|e| Error::Io(folder.to_owned(), e))?;
    let mut paths: Vec<PathBuf> = entries
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "json"))
        .collect();
    paths.sort();
    Ok(paths)
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

fn module(source: &Path) -> Result<String, Error> {
    let bad = |error: String| Error::Schema(source.to_owned(), error);
    let text = fs::read_to_string(source).map_err(|e| Error::Io(source.to_owned(), e))?;
    let root: schemars::schema::RootSchema =
        serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
    let about = root
        .schema
        .metadata
        .as_ref()
        .and_then(|m| m.description.clone());
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut space = TypeSpace::new(&settings);
    space
        .add_ref_types(root.definitions)
        .map_err(|e| bad(e.to_string()))?;
    let mut file = syn::parse2::<syn::File>(space.to_stream()).map_err(|e| bad(e.to_string()))?;
    file.items.iter_mut().for_each(document);
    let body = prettyplease::unparse(&file);
    let about = about.unwrap_or_else(|| stem(source));
    Ok(format!(
        "//! {about}\n//!\n//! Generated from `schemas/{}.json`; do not edit.\n\n{body}",
        stem(source)
    ))
}

/// gives each field without a description a link to its type
fn document(item: &mut syn::Item) {
    let syn::Item::Struct(item) = item else {
        return;
    };
    for field in &mut item.fields {
        if field.attrs.iter().any(|attr| attr.path().is_ident("doc")) {
            continue;
        }
        let syn::Type::Path(kind) = &field.ty else {
            continue;
        };
        if let Some(name) = kind
            .path
            .segments
            .last()
            .map(|segment| segment.ident.to_string())
        {
            let text = format!("see [`{name}`]");
            field.attrs.insert(0, syn::parse_quote!(#[doc = #text]));
        }
    }
}

fn put(path: &Path, text: &str, check: bool, stale: &mut Vec<PathBuf>) -> Result<(), Error> {
    let old = fs::read_to_string(path).unwrap_or_default();
    if old == text {
        return Ok(());
    }
    if check {
        stale.push(path.to_owned());
        return Ok(());
    }
    let folder = path.parent().unwrap_or(Path::new("."));
    fs::create_dir_all(folder).map_err(|e| Error::Io(folder.to_owned(), e))?;
    fs::write(path, text).map_err(|e| Error::Io(path.to_owned(), e))
}
