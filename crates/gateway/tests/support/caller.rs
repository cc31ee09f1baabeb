use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// time-out for a response in a test
const TIMEOUT: Duration = Duration::from_secs(15);

/// client connection of a caller
pub struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// a response
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// status, 0 if no complete head was received
    pub status: u16,
    /// head in lower case
    pub head: String,
    /// body, with chunks joined
    pub body: String,
    /// whether the body was complete according to its head
    pub is_complete: bool,
}

impl Response {
    /// value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
    }

    /// value of `retry-after`, seconds
    pub fn retry_after(&self) -> f64 {
        let value = self.header("retry-after").expect("a time");
        value.parse().expect("a number")
    }
}

/// builds a request from header lines and a body
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Caller {
    /// connects to a gateway
    pub async fn connect(address: SocketAddr) -> Caller {
        let caller = Caller::try_connect(address).await;
        caller.expect("the gateway accepts connections")
    }

    /// connects to a gateway unless it refuses the connection
    pub async fn try_connect(address: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Caller {
            stream,
            bytes: Vec::new(),
        })
    }

    /// sends text as it is
    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gateway reads the request");
    }

    /// sends bytes; the gateway may have closed the connection before it has read all
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// sends text unless the gateway has closed the connection
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// sends a request and reads its response
    pub async fn call(&mut self, text: &str) -> Response {
        self.send(text).await;
        self.response().await
    }

    /// reads a response
    pub async fn response(&mut self) -> Response {
        timeout(TIMEOUT, self.read_response())
            .await
            .expect("a response within the time-out")
    }

    /// reads until the connection ends; returns what was received and whether it was reset
    pub async fn read_to_end(&mut self) -> (String, bool) {
        let mut bytes = Vec::new();
        let reading = self.stream.read_to_end(&mut bytes);
        let result = timeout(TIMEOUT, reading)
            .await
            .expect("the end of the connection within the time-out");
        (
            String::from_utf8_lossy(&bytes).into_owned(),
            result.is_err(),
        )
    }

    /// reads until some text has been received
    pub async fn read_until(&mut self, text: &str) {
        let reading = async {
            while !String::from_utf8_lossy(&self.bytes).contains(text) {
                assert!(
                    self.read_more().await,
                    "the connection was closed before {text:?} was received"
                );
            }
        };
        timeout(TIMEOUT, reading)
            .await
            .expect("the text within the time-out");
    }

    /// whether the gateway closes the connection within some time
    pub async fn is_closed_within(&mut self, time: Duration) -> bool {
        timeout(time, async { while self.read_more().await {} })
            .await
            .is_ok()
    }

    async fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.bytes.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    async fn read_response(&mut self) -> Response {
        let head_end = loop {
            let found = self
                .bytes
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if !self.read_more().await {
                return Response {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    is_complete: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_end]).to_ascii_lowercase();
        self.bytes.drain(..head_end + 4);
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, is_complete) = match length.and_then(|text| text.parse::<usize>().ok()) {
            Some(length) => self.read_sized(length).await,
            None => self.read_chunked().await,
        };
        Response {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            is_complete,
        }
    }

    async fn read_sized(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.bytes.len() < length {
            if !self.read_more().await {
                return (std::mem::take(&mut self.bytes), false);
            }
        }
        (self.bytes.drain(..length).collect(), true)
    }

    async fn read_chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.bytes.windows(2).position(|window| window == b"\r\n") else {
                if !self.read_more().await {
                    return (body, false);
                }
                continue;
            };
            let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).expect("a hexadecimal chunk size");
            while self.bytes.len() < end + 2 + size + 2 {
                if !self.read_more().await {
                    return (body, false);
                }
            }
            body.extend_from_slice(&self.bytes[end + 2..end + 2 + size]);
            self.bytes.drain(..end + 2 + size + 2);
            if size == 0 {
                return (body, true);
            }
        }
    }
}
