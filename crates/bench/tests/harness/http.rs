//! HTTP client that sends requests byte for byte as a test gives them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use schema::failure::{Body, Failure, Verdict};

/// limit for establishing a connection
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// limit for reading or writing without progress
const IO_TIMEOUT: Duration = Duration::from_secs(15);

/// end of the header section
const HEAD_END: &[u8] = b"\r\n\r\n";

/// an HTTP request
#[derive(Clone, Debug)]
pub struct Call {
    request_line: String,
    headers: Vec<String>,
    body: Vec<u8>,
    has_length: bool,
}

/// an HTTP response
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status
    pub status: u16,
    /// header lines
    pub headers: Vec<String>,
    /// body
    pub body: String,
    /// time from connecting to the end of the response
    pub took: Duration,
}

impl Call {
    /// request with the default headers and no body
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            request_line: format!("{method} {path} HTTP/1.1"),
            headers: vec!["Host: agateloom".to_owned(), "Connection: close".to_owned()],
            body: Vec::new(),
            has_length: true,
        }
    }

    /// adds an API key
    pub fn bearer(self, key: &str) -> Self {
        self.header("Authorization", &format!("Bearer {key}"))
    }

    /// adds a header
    pub fn header(self, name: &str, value: &str) -> Self {
        self.line(&format!("{name}: {value}"))
    }

    /// adds a header line unchanged
    pub fn line(mut self, line: &str) -> Self {
        self.headers.push(line.to_owned());
        self
    }

    /// sets the body
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// leaves out the `Content-Length` header
    pub fn without_length(mut self) -> Self {
        self.has_length = false;
        self
    }

    /// sends the request and reads the response
    pub fn send(&self, to: SocketAddr) -> io::Result<Reply> {
        let mut bytes = format!("{}\r\n", self.request_line).into_bytes();
        for line in &self.headers {
            bytes.extend_from_slice(line.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        if self.has_length {
            let line = format!("Content-Length: {}\r\n", self.body.len());
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        send_bytes(to, &bytes)
    }
}

/// sends bytes unchanged and reads the response
pub fn send_bytes(to: SocketAddr, bytes: &[u8]) -> io::Result<Reply> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    // The daemon may reject a request and close before it has read all bytes.
    let written = stream.write_all(bytes);
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&response) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
            Err(_) if !response.is_empty() => break,
            Err(error) => return Err(written.err().unwrap_or(error)),
        }
    }
    Reply::parse(&response, start.elapsed())
}

fn is_complete(response: &[u8]) -> bool {
    let Some((head, body)) = split(response) else {
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

fn split(response: &[u8]) -> Option<(String, &[u8])> {
    let at = response
        .windows(HEAD_END.len())
        .position(|part| part == HEAD_END)?;
    let head = String::from_utf8_lossy(&response[..at]).into_owned();
    Some((head, &response[at + HEAD_END.len()..]))
}

impl Reply {
    fn parse(response: &[u8], took: Duration) -> io::Result<Self> {
        let incomplete =
            || io::Error::new(io::ErrorKind::UnexpectedEof, "incomplete HTTP response");
        let (head, body) = split(response).ok_or_else(incomplete)?;
        let mut lines = head.lines();
        let status = lines.next().and_then(|line| line.split(' ').nth(1));
        let status = status.and_then(|status| status.parse().ok());
        Ok(Self {
            status: status.ok_or_else(incomplete)?,
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

    /// failure in the error body, if there is one
    pub fn failure(&self) -> Option<Failure> {
        let body: Body = serde_json::from_str(&self.body).ok()?;
        Some(body.error)
    }

    /// verdict on whether the call ran
    pub fn verdict(&self) -> Option<Verdict> {
        self.failure().map(|failure| failure.verdict)
    }

    /// error code
    pub fn code(&self) -> String {
        self.failure().map(|f| f.code).unwrap_or_default()
    }

    /// fails unless the response is an error with a complete error body
    ///
    /// # Panics
    /// If the status is no error, the body, code or content type is missing, the message is not a
    /// sentence, or `Retry-After` is shorter than the time in the body.
    pub fn assert_error_body(&self) {
        let failure = self.failure();
        let failure = failure.unwrap_or_else(|| panic!("no error body: {self:?}"));
        assert!(self.status >= 400, "{self:?}");
        assert!(
            failure.message.ends_with('.'),
            "message is not a sentence: {self:?}"
        );
        assert!(!failure.code.is_empty(), "{self:?}");
        assert_eq!(self.header("content-type"), Some("application/json"));
        if let Some(after) = failure.retry_after_ms {
            let seconds: u64 = self
                .header("retry-after")
                .and_then(|value| value.parse().ok())
                .unwrap_or_else(|| panic!("no Retry-After header: {self:?}"));
            assert!(seconds * 1000 >= after, "{self:?}");
        }
    }
}
