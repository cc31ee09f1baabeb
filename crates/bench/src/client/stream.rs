//! One connection that carries a part of an answer.

use std::time::Instant;

use attohttpc::{Response, ResponseReader};
use serde::Deserialize;

use super::{Event, Events, Fault};

/// data of the last event
const DONE: &str = "[DONE]";

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

/// what came
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// a token
    Token {
        /// its text
        text: String,
        /// when it came
        at: Instant,
    },
    /// the answer is whole
    Done,
    /// the rest is to be fetched at this path
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
struct Move {
    location: String,
}

impl Stream {
    /// reads the answer of a streamed call, until `deadline`
    pub fn new(response: Response, deadline: Instant) -> Result<Self, Fault> {
        let status = response.status().as_u16();
        if status != 200 {
            let body = response.bytes().unwrap_or_default();
            return Err(Fault::Refused {
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

    /// waits for what comes next
    pub fn next_step(&mut self) -> Result<Step, Fault> {
        loop {
            if Instant::now() > self.deadline {
                return Err(Fault::Late);
            }
            let event = self.events.next_event();
            let event = event.map_err(|error| Fault::Broken(error.to_string()))?;
            let Some(event) = event else {
                return Err(Fault::Broken("the answer ended early".to_owned()));
            };
            if let Some(step) = self.read(&event)? {
                return Ok(step);
            }
        }
    }

    fn read(&mut self, event: &Event) -> Result<Option<Step>, Fault> {
        if let Some((request_id, _)) = event.id.rsplit_once(':') {
            request_id.clone_into(&mut self.request_id);
            event.id.clone_into(&mut self.last_event_id);
        }
        match event.name.as_str() {
            "reattach" => {
                let moved: Move = parse(&event.data)?;
                return Ok(Some(Step::Reattach(moved.location)));
            }
            "error" => {
                let body = serde_json::from_str(&event.data).ok();
                return Err(Fault::Refused { status: 0, body });
            }
            _ => {}
        }
        if event.data == DONE {
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

fn parse<'a, T: Deserialize<'a>>(data: &'a str) -> Result<T, Fault> {
    serde_json::from_str(data).map_err(|error| Fault::Malformed(format!("{error}: {data}")))
}
