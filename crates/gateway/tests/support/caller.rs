use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// longest time for an answer in a test
const LIMIT: Duration = Duration::from_secs(15);

/// a caller's connection
pub struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
}

/// an answer
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// its status
    pub status: u16,
    /// its head, in lower case
    pub head: String,
    /// its body, with chunks joined
    pub body: String,
    /// whether the body ended as its head says it does
    pub whole: bool,
}

impl Answer {
    /// the value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
    }
}

/// a request with headers as lines, and a body
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Caller {
    /// connects
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address)
            .await
            .expect("the gateway listens");
        Caller {
            stream,
            bytes: Vec::new(),
        }
    }

    /// sends bytes
    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the gateway reads");
    }

    /// sends a request and reads its answer
    pub async fn call(&mut self, text: &str) -> Answer {
        self.send(text).await;
        self.answer().await
    }

    /// reads an answer
    pub async fn answer(&mut self) -> Answer {
        timeout(LIMIT, self.read())
            .await
            .expect("an answer in time")
    }

    /// reads until some text has come
    pub async fn until(&mut self, text: &str) {
        let reading = async {
            while !String::from_utf8_lossy(&self.bytes).contains(text) {
                assert!(self.more().await, "the connection ended before {text:?}");
            }
        };
        timeout(LIMIT, reading).await.expect("the text in time");
    }

    /// whether the gateway closes the connection within a time
    pub async fn closes(&mut self, time: Duration) -> bool {
        timeout(time, async { while self.more().await {} })
            .await
            .is_ok()
    }

    async fn more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.bytes.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    async fn read(&mut self) -> Answer {
        let head_end = loop {
            let found = self
                .bytes
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if !self.more().await {
                return Answer {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    whole: false,
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
        let (body, whole) = match length.and_then(|text| text.parse::<usize>().ok()) {
            Some(length) => self.sized(length).await,
            None => self.chunked().await,
        };
        Answer {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            whole,
        }
    }

    async fn sized(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.bytes.len() < length {
            if !self.more().await {
                return (std::mem::take(&mut self.bytes), false);
            }
        }
        (self.bytes.drain(..length).collect(), true)
    }

    async fn chunked(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.bytes.windows(2).position(|window| window == b"\r\n") else {
                if !self.more().await {
                    return (body, false);
                }
                continue;
            };
            let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
            let size = usize::from_str_radix(line.trim(), 16).expect("the size of a chunk");
            while self.bytes.len() < end + 2 + size + 2 {
                if !self.more().await {
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
