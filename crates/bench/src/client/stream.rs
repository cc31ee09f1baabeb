//! One connection that carries a streamed response or a part of it.

use std::time::Instant;

use attohttpc::{Response, ResponseReader};
use serde::Deserialize;

use super::{Error, Event, Events};

/// data of the last event
const END_MARKER: &str = "[DONE]";

/// an open stream of one completion
#[derive(Debug)]
pub struct Stream {
    events: Events<ResponseReader>,
    deadline: Instant,
    /// id of the request, once known
    pub request_id: String,
    /// id of the last event with a token
    pub last_event_id: String,
}

/// a step of a stream
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// a token
    Token {
        /// text
        text: String,
        /// when it arrived
        at: Instant,
    },
    /// the response is complete
    Done,
    /// the stream continues at this path
    Reattach(String),
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Relocation {
    location: String,
}

impl Stream {
    /// reads a streamed response, until `deadline`
    pub fn new(response: Response, deadline: Instant) -> Result<Self, Error> {
        let status = response.status().as_u16();
        if status != 200 {
            let body = response.bytes().unwrap_or_default();
            return Err(Error::ErrorResponse {
                status,
                body: serde_json::from_slice(&body).ok(),
            });
        }
        let header = response.headers().get("x-request-id");
        let request_id = header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let request_id = request_id.to_owned();
        let (_, _, body) = response.split();
        let events = Events::new(body);
        Ok(Self {
            events,
            deadline,
            request_id,
            last_event_id: String::new(),
        })
    }

    /// waits for the next step
    pub fn next_step(&mut self) -> Result<Step, Error> {
        loop {
            if Instant::now() > self.deadline {
                return Err(Error::TimedOut);
            }
            let event = self.events.next_event();
            let event = event.map_err(|error| Error::Connection(error.to_string()))?;
            let Some(event) = event else {
                return Err(Error::Connection(
                    "stream ended before its last event".to_owned(),
                ));
            };
            if let Some(step) = self.interpret(&event)? {
                return Ok(step);
            }
        }
    }

    fn interpret(&mut self, event: &Event) -> Result<Option<Step>, Error> {
        if let Some((request_id, _)) = event.id.rsplit_once(':') {
            request_id.clone_into(&mut self.request_id);
            event.id.clone_into(&mut self.last_event_id);
        }
        match event.name.as_str() {
            "reattach" => {
                let moved: Relocation = parse(&event.data)?;
                return Ok(Some(Step::Reattach(moved.location)));
            }
            "error" => {
                let body = serde_json::from_str(&event.data).ok();
                return Err(Error::ErrorResponse { status: 0, body });
            }
            _ => {}
        }
        if event.data == END_MARKER {
            return Ok(Some(Step::Done));
        }
        if event.data.is_empty() {
            return Ok(None);
        }
        let chunk: Chunk = parse(&event.data)?;
        let text: String = chunk.choices.into_iter().filter_map(Choice::text).collect();
        if text.is_empty() {
            return Ok(None);
        }
        Ok(Some(Step::Token {
            text,
            at: Instant::now(),
        }))
    }
}

impl Choice {
    fn text(self) -> Option<String> {
        self.text
            .or_else(|| self.delta.and_then(|delta| delta.content))
    }
}

fn parse<'a, T: Deserialize<'a>>(data: &'a str) -> Result<T, Error> {
    serde_json::from_str(data)
        .map_err(|error| Error::InvalidResponse(format!("event data: {error}: {data}")))
}
