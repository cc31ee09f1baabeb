//! HTTP/1.1 as far as the stand-ins need it: one thread for each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// a request or a response that was read completely
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// request line or status line
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// reads a head; none at the end of the connection
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// reads one chunk of a chunked body; empty at its end
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

pub fn is_chunked(message: &Message) -> bool {
    let coding = message.header("transfer-encoding").unwrap_or_default();
    coding.eq_ignore_ascii_case("chunked")
}

/// reads the body of a message with a length or in chunks
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if is_chunked(message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)
}

/// answers each request on each connection; the handler returns false to close the connection
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(mut request) = read_head(&mut reader)? {
                    read_body(&mut reader, &mut request)?;
                    if !handle(&request, &mut stream)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
    Ok(())
}

/// writes a response with a body of a known length
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// makes one call on a new connection
pub fn call(address: SocketAddr, head: &str, body: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let text = format!("{head}Host: {address}\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut response = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut response)?;
    Ok(response)
}
