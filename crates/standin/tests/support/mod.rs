//! HTTP client and helpers for the tests of the stand-ins.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{Response, ResponseReader};
use schema::engine::{Chunk, Completion, Finish};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// time limit for requests and conditions in a test
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// client side of an open stream of an engine
pub struct Stream {
    lines: Lines<BufReader<ResponseReader>>,
}

/// an item of a stream
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    Token(Chunk),
    Finish(Finish),
    Comment,
    /// the connection ended before the finish
    Disconnected,
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

/// a prompt of `count` words
pub fn prompt_of_words(count: usize) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("word{number}")).collect();
    words.join(" ")
}

pub fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Response {
    try_post(address, path, body).expect("POST should get a response")
}

pub fn try_post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> attohttpc::Result<Response> {
    attohttpc::post(format!("http://{address}{path}"))
        .connect_timeout(TIMEOUT)
        .read_timeout(TIMEOUT)
        .json(body)?
        .send()
}

pub fn put<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Response {
    let request = attohttpc::put(format!("http://{address}{path}")).read_timeout(TIMEOUT);
    request
        .json(body)
        .expect("request body should serialise")
        .send()
        .expect("PUT should get a response")
}

pub fn get(address: SocketAddr, path: &str) -> Response {
    attohttpc::get(format!("http://{address}{path}"))
        .read_timeout(TIMEOUT)
        .send()
        .expect("GET should get a response")
}

pub fn delete(address: SocketAddr, path: &str) -> Response {
    attohttpc::delete(format!("http://{address}{path}"))
        .read_timeout(TIMEOUT)
        .send()
        .expect("DELETE should get a response")
}

pub fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    get(address, path).json().expect("response should be JSON")
}

/// polls until `condition` holds; panics after [`TIMEOUT`]
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Stream {
    pub fn open(address: SocketAddr, completion: &Completion) -> Self {
        Self::from_response(post(address, "/v1/completions", completion))
    }

    pub fn reattach(address: SocketAddr, request_id: &str, from: u32) -> Self {
        Self::from_response(get(
            address,
            &format!("/v1/streams/{request_id}?from={from}"),
        ))
    }

    pub fn from_response(response: Response) -> Self {
        assert_eq!(response.status().as_u16(), 200);
        let (_, _, reader) = response.split();
        Self {
            lines: BufReader::new(reader).lines(),
        }
    }

    /// the next item, comments included
    pub fn next_item(&mut self) -> Item {
        let mut name = String::new();
        let mut data = String::new();
        while let Some(Ok(line)) = self.lines.next() {
            if line.is_empty() && data.is_empty() {
                return Item::Comment;
            }
            if line.is_empty() && name == "finish" {
                return Item::Finish(
                    serde_json::from_str(&data).expect("finish event should be JSON"),
                );
            }
            if line.is_empty() {
                return Item::Token(
                    serde_json::from_str(&data).expect("token event should be JSON"),
                );
            }
            if let Some(value) = line.strip_prefix("event: ") {
                name = value.to_owned();
            }
            if let Some(value) = line.strip_prefix("data: ") {
                data = value.to_owned();
            }
        }
        Item::Disconnected
    }

    /// the next token or finish, without comments
    pub fn next_event(&mut self) -> Item {
        loop {
            match self.next_item() {
                Item::Comment => {}
                item => return item,
            }
        }
    }

    /// all remaining tokens, and the finish unless the connection ended before it
    pub fn read_to_end(&mut self) -> (Vec<Chunk>, Option<Finish>) {
        let mut chunks = Vec::new();
        loop {
            match self.next_event() {
                Item::Token(chunk) => chunks.push(chunk),
                Item::Finish(finish) => return (chunks, Some(finish)),
                Item::Disconnected | Item::Comment => return (chunks, None),
            }
        }
    }
}

/// checks that `chunks` are the tokens generated for `prompt` from index `from` on
pub fn assert_tokens(prompt: &str, from: u32, chunks: &[Chunk]) {
    for (index, chunk) in (from..).zip(chunks) {
        assert_eq!(chunk.index, index);
        assert_eq!(chunk.text, standin::engine::token(prompt, index));
    }
}
