//! Reading of a stream of server-sent events from an engine.

use std::io::{BufRead, BufReader, Read};

use attohttpc::{Response, ResponseReader};
use macro_rules_attribute::apply;
use schema::data;
use schema::engine::{Chunk, Finish};
use schema::failure::Verdict;

use crate::failure::{Failure, Kind};

/// longest line of a stream, bytes
const LINE_LIMIT: u64 = 64 * 1024;

/// one thing read from a stream
#[apply(data!)]
pub enum Item {
    /// a token
    Token(Chunk),
    /// a sign of life without a token
    Waiting,
    /// the end of the answer
    Finish(Finish),
}

/// an open stream; dropping it closes the connection
#[derive(Debug)]
pub struct Stream {
    reader: BufReader<ResponseReader>,
    event: String,
}

impl Stream {
    pub(crate) fn new(answer: Response) -> Result<Stream, Failure> {
        let (_, _, reader) = answer.split();
        Ok(Stream {
            reader: BufReader::new(reader),
            event: String::new(),
        })
    }

    /// waits for the next item
    ///
    /// # Errors
    /// [`Kind::Silent`] when nothing comes within the silence time-out; the
    /// stream is of no use after any error.
    pub fn next_item(&mut self) -> Result<Item, Failure> {
        loop {
            let line = self.line()?;
            if let Some(item) = self.parse(line.trim_end())? {
                return Ok(item);
            }
        }
    }

    fn line(&mut self) -> Result<String, Failure> {
        let mut line = String::new();
        let read = self.reader.by_ref().take(LINE_LIMIT).read_line(&mut line);
        match read {
            Ok(0) => Err(Failure::new(
                Kind::Broken,
                Verdict::MayHaveRun,
                "ended before its last event",
            )),
            Ok(_) if line.ends_with('\n') => Ok(line),
            Ok(_) => Err(Failure::new(
                Kind::Garbled,
                Verdict::MayHaveRun,
                "a line is cut off",
            )),
            Err(error) => Err(Failure::from_io(&error, true)),
        }
    }

    fn parse(&mut self, line: &str) -> Result<Option<Item>, Failure> {
        if line.is_empty() {
            self.event.clear();
            return Ok(None);
        }
        if line.starts_with(':') {
            return Ok(Some(Item::Waiting));
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => {
                self.event = value.to_owned();
                Ok(None)
            }
            "data" => self.data(value).map(Some),
            _ => Ok(None),
        }
    }

    fn data(&self, value: &str) -> Result<Item, Failure> {
        let item = match self.event.as_str() {
            "finish" => serde_json::from_str(value).map(Item::Finish),
            _ => serde_json::from_str(value).map(Item::Token),
        };
        item.map_err(|error| Failure::new(Kind::Garbled, Verdict::MayHaveRun, error.to_string()))
    }
}
