//! Chooses the form of a result.

use std::io::{self, Write};

use schema::client::Output;
use serde::Serialize;

use crate::error::Error;

/// a result that people can read
pub trait Render {
    /// the text, without a line end after the last line
    fn text(&self) -> String;
}

/// gives a result in the form asked for
///
/// # Errors
/// When it can't be written as JSON.
pub fn render<R: Render + Serialize>(result: &R, output: Output) -> Result<String, Error> {
    match output {
        Output::Text => Ok(result.text()),
        Output::Json => serde_json::to_string_pretty(result)
            .map_err(|error| Error::Failed(format!("the result can't be printed: {error}"))),
    }
}

/// prints a result; a reader that went away is no failure
pub fn print(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{}", text.trim_end());
}
