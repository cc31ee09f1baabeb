//! Reads and writes trace files.

use std::fs;
use std::io;
use std::path::Path;

use macro_rules_attribute::apply;
use schema::data;
use schema::trace::{Call, Class, Header};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// calls to replay, ordered by arrival time
#[apply(data!)]
pub struct Trace {
    /// classes and workspaces that the calls refer to by index
    pub header: Header,
    /// calls, ordered by arrival time
    pub calls: Vec<Call>,
}

impl Trace {
    /// reads a file of JSON lines
    ///
    /// # Errors
    /// If the file can't be read, a line is invalid, or a call refers to a class or
    /// workspace that the header doesn't have.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path)?;
        Self::parse(&text).map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
    }

    /// writes a file of JSON lines
    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.text()?)
    }

    /// the trace as JSON lines
    pub fn text(&self) -> io::Result<String> {
        let mut text = line(&self.header)?;
        for call in &self.calls {
            text.push_str(&line(call)?);
        }
        Ok(text)
    }

    /// parses JSON lines, see [`Trace::read`]
    pub fn parse(text: &str) -> io::Result<Self> {
        let mut lines = text.lines().enumerate();
        let (_, first) = lines
            .next()
            .ok_or_else(|| io::Error::other("trace is empty: the header line is missing"))?;
        let header = parse_line(0, first)?;
        let mut calls = Vec::new();
        for (number, text) in lines {
            calls.push(parse_line(number, text)?);
        }
        let trace = Self { header, calls };
        trace.check()?;
        Ok(trace)
    }

    /// class of a call of this trace
    pub fn class(&self, call: &Call) -> &Class {
        &self.header.classes[call.class as usize]
    }

    fn check(&self) -> io::Result<()> {
        for (number, call) in self.calls.iter().enumerate() {
            let has_class = (call.class as usize) < self.header.classes.len();
            let has_workspace = (call.workspace as usize) < self.header.workspaces.len();
            if !has_class || !has_workspace {
                let message = format!(
                    "line {}: class {} or workspace {} is not in the header",
                    number + 2,
                    call.class,
                    call.workspace
                );
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }
}

fn line<T: Serialize>(value: &T) -> io::Result<String> {
    let mut text = serde_json::to_string(value).map_err(io::Error::other)?;
    text.push('\n');
    Ok(text)
}

fn parse_line<T: DeserializeOwned>(number: usize, text: &str) -> io::Result<T> {
    serde_json::from_str(text)
        .map_err(|error| io::Error::other(format!("line {}: {error}", number + 1)))
}
