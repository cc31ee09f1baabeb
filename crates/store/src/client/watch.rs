//! A stream of changes of an object.

use std::io::{BufRead, BufReader, Read, Take};
use std::marker::PhantomData;

use attohttpc::{Response, ResponseReader};
use schema::objects::{Document, Event, Status};

use super::object::{Object, Spec, parse_version};
use crate::error::Error;

pub use schema::objects::Change;

const MAX_LINE_BYTES: u64 = 4 << 20;

/// one event of a watch
#[derive(Debug, Clone, PartialEq)]
pub enum Update<T> {
    /// the object was created or changed to this state
    Present(Object<T>),
    /// the object was removed at this version
    Removed(u64),
    /// there are no other changes up to this version
    Bookmark(u64),
}

/// an open watch; ends when the store or the time limit closes it
pub struct Watch<T> {
    lines: Take<BufReader<ResponseReader>>,
    line: Vec<u8>,
    spec: PhantomData<T>,
}

impl<T: Spec> Watch<T> {
    pub(super) fn new(response: Response) -> Self {
        let (_, _, reader) = response.split();
        Watch {
            lines: BufReader::new(reader).take(MAX_LINE_BYTES),
            line: Vec::new(),
            spec: PhantomData,
        }
    }

    fn parse_line(&self) -> Result<Update<T>, Error> {
        let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
        let event: Event = serde_json::from_slice(&self.line).map_err(malformed)?;
        if event.type_ == Change::Error {
            let status: Status = serde_json::from_value(event.object).map_err(malformed)?;
            return Err(match status.code {
                410 => Error::VersionExpired,
                code => Error::ReadFailed(format!("{code} {}", status.message)),
            });
        }
        let text = event.object["metadata"]["resourceVersion"].as_str();
        let version = parse_version(text)?;
        match event.type_ {
            Change::Bookmark => Ok(Update::Bookmark(version)),
            Change::Deleted => Ok(Update::Removed(version)),
            _ => {
                let document: Document = serde_json::from_value(event.object).map_err(malformed)?;
                Object::from_document(document).map(Update::Present)
            }
        }
    }
}

impl<T: Spec> Iterator for Watch<T> {
    type Item = Result<Update<T>, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        self.line.clear();
        self.lines.set_limit(MAX_LINE_BYTES);
        match self.lines.read_until(b'\n', &mut self.line) {
            Ok(0) => None,
            Ok(_) => Some(self.parse_line()),
            Err(error) => Some(Err(Error::ReadFailed(error.to_string()))),
        }
    }
}
