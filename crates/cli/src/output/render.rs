//! Formats results in the selected output format.

use std::io::{self, Write};

use schema::client::Output;
use serde::Serialize;

use crate::error::Error;

/// a result with a human-readable form
pub trait Render {
    /// the text, without a newline after the last line
    fn to_text(&self) -> String;
}

/// formats a result in the selected output format
///
/// # Errors
/// When the result can't be serialized as JSON.
pub fn render<R: Render + Serialize>(result: &R, output: Output) -> Result<String, Error> {
    match output {
        Output::Text => Ok(result.to_text()),
        Output::Json => serde_json::to_string_pretty(result)
            .map_err(|error| Error::Other(format!("can't serialize the result as JSON: {error}"))),
    }
}

/// prints a result to stdout; ignores write errors such as a closed pipe
pub fn print(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{}", text.trim_end());
}
