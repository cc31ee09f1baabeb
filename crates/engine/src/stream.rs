//! Reads the server-sent events of an engine's stream.

use std::io::{BufRead, BufReader, Read};

use attohttpc::{Response, ResponseReader};
use macro_rules_attribute::apply;
use schema::data;
use schema::engine::{Chunk, Finish};
use schema::failure::Verdict;

use crate::failure::{Failure, FailureKind};
use crate::stated::Stated;

/// maximum length of a line of a stream, bytes
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// element of a stream
#[apply(data!)]
pub enum Item {
    /// a generated token
    Token(Chunk),
    /// a comment line, sent to keep the connection alive while there is no token
    KeepAlive,
    /// the end of the stream
    Finish(Finish),
}

/// open stream; dropping it closes the connection
#[derive(Debug)]
pub struct Stream {
    /// what the engine states about its VM
    pub stated: Stated,
    reader: BufReader<ResponseReader>,
    event: String,
}

impl Stream {
    pub(crate) fn new(response: Response) -> Result<Stream, Failure> {
        let (status, headers, reader) = response.split();
        Ok(Stream {
            stated: Stated::read(status.as_u16(), &headers),
            reader: BufReader::new(reader),
            event: String::new(),
        })
    }

    /// waits for the next item
    ///
    /// # Errors
    /// [`FailureKind::Silent`] when no data arrives within the idle time-out. The stream can't be
    /// read further after any error.
    pub fn next_item(&mut self) -> Result<Item, Failure> {
        loop {
            let line = self.read_line()?;
            if let Some(item) = self.parse_line(line.trim_end())? {
                return Ok(item);
            }
        }
    }

    fn read_line(&mut self) -> Result<String, Failure> {
        let mut line = String::new();
        let read = self
            .reader
            .by_ref()
            .take(MAX_LINE_BYTES)
            .read_line(&mut line);
        match read {
            Ok(0) => Err(Failure::new(
                FailureKind::Broken,
                Verdict::MayHaveRun,
                "the stream ended before its finish event",
            )),
            Ok(_) if line.ends_with('\n') => Ok(line),
            Ok(_) => Err(Failure::new(
                FailureKind::Garbled,
                Verdict::MayHaveRun,
                "a line of the stream is incomplete or longer than 64 KiB",
            )),
            Err(error) => Err(Failure::from_io(&error, true)),
        }
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<Item>, Failure> {
        if line.is_empty() {
            self.event.clear();
            return Ok(None);
        }
        if line.starts_with(':') {
            return Ok(Some(Item::KeepAlive));
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => {
                self.event = value.to_owned();
                Ok(None)
            }
            "data" => self.parse_data(value).map(Some),
            _ => Ok(None),
        }
    }

    fn parse_data(&self, value: &str) -> Result<Item, Failure> {
        let item = match self.event.as_str() {
            "finish" => serde_json::from_str(value).map(Item::Finish),
            _ => serde_json::from_str(value).map(Item::Token),
        };
        item.map_err(|error| {
            Failure::new(FailureKind::Garbled, Verdict::MayHaveRun, error.to_string())
        })
    }
}
