//! Generates one Rust module per JSON Schema file.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use typify::{TypeSpace, TypeSpaceSettings};

/// why generation failed
#[derive(Debug)]
pub enum Error {
    /// a file or folder could not be read or written
    Io(PathBuf, io::Error),
    /// a schema file is invalid
    Schema(PathBuf, String),
    /// the committed files differ from the generated ones
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
                write!(
                    f,
                    "generated files are out of date, run `cargo run -p schemagen`: {names}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// writes all generated modules; with `check` only compares them with the committed ones
///
/// # Errors
/// When a schema is invalid, a file can't be accessed, or with `check` a module is out of date.
pub fn generate(check: bool) -> Result<(), Error> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let output = root.join("src/generated");
    let mut stale = Vec::new();
    let mut index = String::from("//! Types generated from the schema files; do not edit.\n\n");
    for source in schema_files(&root.join("schemas"))? {
        let name = stem(&source);
        index.push_str(&format!("pub mod {name};\n"));
        let text = generate_module(&source)?;
        write_or_compare(&output.join(format!("{name}.rs")), &text, check, &mut stale)?;
    }
    write_or_compare(&output.join("mod.rs"), &index, check, &mut stale)?;
    if stale.is_empty() {
        Ok(())
    } else {
        Err(Error::Stale(stale))
    }
}

fn schema_files(folder: &Path) -> Result<Vec<PathBuf>, Error> {
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

fn generate_module(source: &Path) -> Result<String, Error> {
    let invalid = |error: String| Error::Schema(source.to_owned(), error);
    let text = fs::read_to_string(source).map_err(|e| Error::Io(source.to_owned(), e))?;
    let root: schemars::schema::RootSchema =
        serde_json::from_str(&text).map_err(|e| invalid(e.to_string()))?;
    let description = root
        .schema
        .metadata
        .as_ref()
        .and_then(|m| m.description.clone());
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut types = TypeSpace::new(&settings);
    types
        .add_ref_types(root.definitions)
        .map_err(|e| invalid(e.to_string()))?;
    let mut file =
        syn::parse2::<syn::File>(types.to_stream()).map_err(|e| invalid(e.to_string()))?;
    file.items.iter_mut().for_each(add_type_links);
    let body = prettyplease::unparse(&file);
    let description = description.unwrap_or_else(|| stem(source));
    Ok(format!(
        "//! {description}\n//!\n//! Generated from `schemas/{}.json`; do not edit.\n\n{body}",
        stem(source)
    ))
}

/// adds a doc link to its type to each struct field that has no description
fn add_type_links(item: &mut syn::Item) {
    let syn::Item::Struct(item) = item else {
        return;
    };
    for field in &mut item.fields {
        if field.attrs.iter().any(|attr| attr.path().is_ident("doc")) {
            continue;
        }
        let syn::Type::Path(ty) = &field.ty else {
            continue;
        };
        if let Some(name) = ty
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

fn write_or_compare(
    path: &Path,
    text: &str,
    check: bool,
    stale: &mut Vec<PathBuf>,
) -> Result<(), Error> {
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
