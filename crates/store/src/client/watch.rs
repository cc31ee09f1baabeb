//! Following an object's changes.

use std::io::{BufRead, BufReader, Read, Take};
use std::marker::PhantomData;

use attohttpc::{Response, ResponseReader};
use schema::objects::{Document, Event, Status};

use super::object::{Object, Spec, version};
use crate::error::Error;

pub use schema::objects::Change;

const MAX_LINE_BYTES: u64 = 4 << 20;

/// one event of a watch
#[derive(Debug, Clone, PartialEq)]
pub enum Update<T> {
    /// the object is there in this state
    Present(Object<T>),
    /// the object was removed at this version
    Removed(u64),
    /// nothing else changed up to this version
    Bookmark(u64),
}

/// an open watch; iterates until the store or a time limit ends it
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

    fn update(&self) -> Result<Update<T>, Error> {
        let malformed = |error: serde_json::Error| Error::Malformed(error.to_string());
        let event: Event = serde_json::from_slice(&self.line).map_err(malformed)?;
        if event.type_ == Change::Error {
            let status: Status = serde_json::from_value(event.object).map_err(malformed)?;
            return Err(match status.code {
                410 => Error::Expired,
                code => Error::Unanswered(format!("{code} {}", status.message)),
            });
        }
        let text = event.object["metadata"]["resourceVersion"].as_str();
        let number = version(text)?;
        match event.type_ {
            Change::Bookmark => Ok(Update::Bookmark(number)),
            Change::Deleted => Ok(Update::Removed(number)),
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
            Ok(_) => Some(self.update()),
            Err(error) => Some(Err(Error::Unanswered(error.to_string()))),
        }
    }
}
