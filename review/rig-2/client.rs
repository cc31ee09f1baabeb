//! Clients.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http;

/// what a client got for one attempt
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub id: String,
    pub status: u16,
    /// ids and data of the events
    pub events: Vec<(u64, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
    pub took: Duration,
}

/// one client attempt
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub method: &'static str,
    pub target: String,
    pub deadline: Duration,
    /// longest pause for which the client waits
    pub patience: Duration,
    pub headers: String,
}

impl Attempt {
    /// a request for a stream of some events
    pub fn stream(id: &str, count: u64, gap_ms: u64, prefix: &str) -> Attempt {
        Attempt {
            id: id.to_owned(),
            method: "POST",
            target: format!("/model/x?n={count}&gap={gap_ms}"),
            deadline: Duration::from_secs(15),
            patience: Duration::from_secs(16),
            headers: format!("Model: m\r\nToken-Count: 400,100\r\nPrefix-Hash: {prefix}\r\n"),
        }
    }

    pub fn send(&self, daemon: SocketAddr) -> Answer {
        let started = Instant::now();
        let mut answer = Answer {
            id: self.id.clone(),
            ..Answer::default()
        };
        // a broken connection leaves the answer incomplete
        let _ = self.exchange(daemon, &mut answer);
        answer.took = started.elapsed();
        answer
    }

    fn exchange(&self, daemon: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&daemon, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.patience))?;
        let (method, target, id) = (self.method, &self.target, &self.id);
        let deadline = self.deadline.as_millis();
        let text = format!(
            "{method} {target} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\nAuthorization: Token key-1\r\n{}Content-Length: {}\r\n\r\n{id}",
            self.headers,
            id.len()
        );
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?;
        let mut head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        if !http::is_chunked(&head) {
            http::read_body(&mut reader, &mut head)?;
            answer.body = head.body;
            answer.is_complete = true;
            return Ok(());
        }
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                answer.is_complete = true;
                return Ok(());
            }
            answer.body.extend_from_slice(&chunk);
            answer.events = events(&answer.body);
        }
    }
}

/// the complete events of a stream
fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let event = |text: &str| {
        let mut fields = text.lines();
        let id = fields.find_map(|line| line.strip_prefix("id: ")?.parse().ok())?;
        let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
        Some((id, data.to_owned()))
    };
    complete.split("\n\n").filter_map(event).collect()
}
