//! A small client for the tests of the stand-ins.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{Response, ResponseReader};
use schema::engine::{Chunk, Completion, Finish};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// longest wait for anything in a test
pub const PATIENCE: Duration = Duration::from_secs(10);

/// an open stream of an engine
pub struct Stream {
    lines: Lines<BufReader<ResponseReader>>,
}

/// what a stream sent
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Token(Chunk),
    Finish(Finish),
    Comment,
    /// the connection ended before the last event
    Broken,
}

pub fn completion(request_id: &str, prompt: &str, max_tokens: u32) -> Completion {
    Completion {
        model: "homily".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        request_id: request_id.to_owned(),
        priority: 5,
        prior: Vec::new(),
        stream: true,
    }
}

pub fn words(count: usize) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("word{number}")).collect();
    words.join(" ")
}

pub fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Response {
    try_post(address, path, body).expect("an answer")
}

pub fn try_post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> attohttpc::Result<Response> {
    attohttpc::post(format!("http://{address}{path}"))
        .connect_timeout(PATIENCE)
        .read_timeout(PATIENCE)
        .json(body)?
        .send()
}

pub fn put<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Response {
    let request = attohttpc::put(format!("http://{address}{path}")).read_timeout(PATIENCE);
    request
        .json(body)
        .expect("a body")
        .send()
        .expect("an answer")
}

pub fn get(address: SocketAddr, path: &str) -> Response {
    attohttpc::get(format!("http://{address}{path}"))
        .read_timeout(PATIENCE)
        .send()
        .expect("an answer")
}

pub fn delete(address: SocketAddr, path: &str) -> Response {
    attohttpc::delete(format!("http://{address}{path}"))
        .read_timeout(PATIENCE)
        .send()
        .expect("an answer")
}

pub fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    get(address, path).json().expect("a JSON answer")
}

/// polls until `condition` holds
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Stream {
    pub fn open(address: SocketAddr, completion: &Completion) -> Self {
        Self::of(post(address, "/v1/completions", completion))
    }

    pub fn reattach(address: SocketAddr, request_id: &str, from: u32) -> Self {
        Self::of(get(
            address,
            &format!("/v1/streams/{request_id}?from={from}"),
        ))
    }

    pub fn of(response: Response) -> Self {
        assert_eq!(response.status().as_u16(), 200);
        let (_, _, reader) = response.split();
        Self {
            lines: BufReader::new(reader).lines(),
        }
    }

    pub fn next(&mut self) -> Event {
        let mut name = String::new();
        let mut data = String::new();
        while let Some(Ok(line)) = self.lines.next() {
            if line.is_empty() && data.is_empty() {
                return Event::Comment;
            }
            if line.is_empty() && name == "finish" {
                return Event::Finish(serde_json::from_str(&data).expect("a finish"));
            }
            if line.is_empty() {
                return Event::Token(serde_json::from_str(&data).expect("a chunk"));
            }
            if let Some(value) = line.strip_prefix("event: ") {
                name = value.to_owned();
            }
            if let Some(value) = line.strip_prefix("data: ") {
                data = value.to_owned();
            }
        }
        Event::Broken
    }

    /// the next event that is not a comment
    pub fn next_event(&mut self) -> Event {
        loop {
            match self.next() {
                Event::Comment => {}
                event => return event,
            }
        }
    }

    /// all tokens to the end, and the finish if there was one
    pub fn rest(&mut self) -> (Vec<Chunk>, Option<Finish>) {
        let mut chunks = Vec::new();
        loop {
            match self.next_event() {
                Event::Token(chunk) => chunks.push(chunk),
                Event::Finish(finish) => return (chunks, Some(finish)),
                Event::Broken | Event::Comment => return (chunks, None),
            }
        }
    }
}

/// checks that chunks are the answer to `prompt` from `from` on
pub fn assert_answer(prompt: &str, from: u32, chunks: &[Chunk]) {
    for (index, chunk) in (from..).zip(chunks) {
        assert_eq!(chunk.index, index);
        assert_eq!(chunk.text, standin::engine::token(prompt, index));
    }
}
