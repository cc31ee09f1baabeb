//! A trace and its file.

use std::fs;
use std::io;
use std::path::Path;

use macro_rules_attribute::apply;
use schema::data;
use schema::trace::{Call, Class, Header};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// calls to replay, in the order of arrival
#[apply(data!)]
pub struct Trace {
    /// what the calls refer to
    pub header: Header,
    /// the calls
    pub calls: Vec<Call>,
}

impl Trace {
    /// reads a file of JSON lines
    ///
    /// # Errors
    /// When it can't be read, a line is not valid, or a call names a class or
    /// workspace that the header lacks.
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

    /// reads JSON lines, see [`Trace::read`]
    pub fn parse(text: &str) -> io::Result<Self> {
        let mut lines = text.lines().enumerate();
        let (_, first) = lines
            .next()
            .ok_or_else(|| io::Error::other("the trace is empty"))?;
        let header = parse_line(0, first)?;
        let mut calls = Vec::new();
        for (number, text) in lines {
            calls.push(parse_line(number, text)?);
        }
        let trace = Self { header, calls };
        trace.check()?;
        Ok(trace)
    }

    /// the class of a call of this trace
    pub fn class(&self, call: &Call) -> &Class {
        &self.header.classes[call.class as usize]
    }

    fn check(&self) -> io::Result<()> {
        for (number, call) in self.calls.iter().enumerate() {
            let has_class = (call.class as usize) < self.header.classes.len();
            let has_workspace = (call.workspace as usize) < self.header.workspaces.len();
            if !has_class || !has_workspace {
                let message = format!("line {}: no such class or workspace", number + 2);
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
