//! Secrets, each in a file of its own.

use std::fs;
use std::path::Path;

use crate::error::Error;

/// reads a secret; white space around it is dropped
///
/// # Errors
/// When the file can't be read or is empty.
pub fn read(path: &str) -> Result<String, Error> {
    let path = Path::new(path);
    let text = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let secret = text.trim();
    if secret.is_empty() {
        return Err(Error::Settings(format!(
            "key file {} is empty",
            path.display()
        )));
    }
    Ok(secret.to_owned())
}
