//! A caller that sends exactly the bytes of a test.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use schema::failure::{Body, Failure, Verdict};

/// longest wait for a connection
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// longest wait for a whole answer
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// end of a head
const HEAD_END: &[u8] = b"\r\n\r\n";

/// a call to send
#[derive(Clone, Debug)]
pub struct Call {
    head: String,
    headers: Vec<String>,
    body: Vec<u8>,
    sized: bool,
}

/// an answer
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status
    pub status: u16,
    /// header lines
    pub headers: Vec<String>,
    /// body
    pub body: String,
    /// time from the connect to the end
    pub took: Duration,
}

impl Call {
    /// a call without headers or body
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            head: format!("{method} {path} HTTP/1.1"),
            headers: vec!["Host: agateloom".to_owned(), "Connection: close".to_owned()],
            body: Vec::new(),
            sized: true,
        }
    }

    /// adds the workspace's key
    pub fn bearer(self, key: &str) -> Self {
        self.header("Authorization", &format!("Bearer {key}"))
    }

    /// adds a header
    pub fn header(self, name: &str, value: &str) -> Self {
        self.line(&format!("{name}: {value}"))
    }

    /// adds a header line as it stands
    pub fn line(mut self, line: &str) -> Self {
        self.headers.push(line.to_owned());
        self
    }

    /// sets the body
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// sends no `Content-Length` of its own
    pub fn unsized_body(mut self) -> Self {
        self.sized = false;
        self
    }

    /// sends it and reads the answer
    pub fn send(&self, to: SocketAddr) -> io::Result<Reply> {
        let mut bytes = format!("{}\r\n", self.head).into_bytes();
        for line in &self.headers {
            bytes.extend_from_slice(line.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        if self.sized {
            let line = format!("Content-Length: {}\r\n", self.body.len());
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        send_bytes(to, &bytes)
    }
}

/// sends bytes as they stand and reads the answer
pub fn send_bytes(to: SocketAddr, bytes: &[u8]) -> io::Result<Reply> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
    // A refusal may come before all bytes were taken.
    let written = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&answer) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(_) if !answer.is_empty() => break,
            Err(error) => return Err(written.err().unwrap_or(error)),
        }
    }
    Reply::parse(&answer, start.elapsed())
}

fn is_whole(answer: &[u8]) -> bool {
    let Some((head, body)) = split(answer) else {
        return false;
    };
    let length = head.lines().find_map(content_length);
    length.is_some_and(|length| body.len() >= length)
}

fn content_length(line: &str) -> Option<usize> {
    let (name, value) = line.split_once(':')?;
    match name.eq_ignore_ascii_case("content-length") {
        true => value.trim().parse().ok(),
        false => None,
    }
}

fn split(answer: &[u8]) -> Option<(String, &[u8])> {
    let at = answer
        .windows(HEAD_END.len())
        .position(|part| part == HEAD_END)?;
    let head = String::from_utf8_lossy(&answer[..at]).into_owned();
    Some((head, &answer[at + HEAD_END.len()..]))
}

impl Reply {
    fn parse(answer: &[u8], took: Duration) -> io::Result<Self> {
        let cut_off = || io::Error::new(io::ErrorKind::UnexpectedEof, "no whole answer");
        let (head, body) = split(answer).ok_or_else(cut_off)?;
        let mut lines = head.lines();
        let status = lines.next().and_then(|line| line.split(' ').nth(1));
        let status = status.and_then(|status| status.parse().ok());
        Ok(Self {
            status: status.ok_or_else(cut_off)?,
            headers: lines.map(str::to_owned).collect(),
            body: String::from_utf8_lossy(body).into_owned(),
            took,
        })
    }

    /// value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut pairs = self.headers.iter().filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// the failure that it tells, if it keeps to the form
    pub fn failure(&self) -> Option<Failure> {
        let body: Body = serde_json::from_str(&self.body).ok()?;
        Some(body.error)
    }

    /// what it says about whether the call ran
    pub fn verdict(&self) -> Option<Verdict> {
        self.failure().map(|failure| failure.verdict)
    }

    /// short name of the cause
    pub fn code(&self) -> String {
        self.failure().map(|f| f.code).unwrap_or_default()
    }

    /// fails unless it is an error in the promised form
    ///
    /// # Panics
    /// When the status is no error, or verdict, sentence or type are missing.
    pub fn assert_form(&self) {
        let failure = self.failure();
        let failure = failure.unwrap_or_else(|| panic!("not in the form of errors: {self:?}"));
        assert!(self.status >= 400, "{self:?}");
        assert!(failure.message.ends_with('.'), "no sentence: {self:?}");
        assert!(!failure.code.is_empty(), "{self:?}");
        assert_eq!(self.header("content-type"), Some("application/json"));
        if let Some(after) = failure.retry_after_ms {
            let seconds: u64 = self
                .header("retry-after")
                .and_then(|value| value.parse().ok())
                .unwrap_or_else(|| panic!("no Retry-After: {self:?}"));
            assert!(seconds * 1000 >= after, "{self:?}");
        }
    }
}
