//! A request body that records whether any part of the request may have been sent.
//!
//! The HTTP library reports a failed connect and a failed read with the same error. It
//! reads the body only after the connection is open, so a request whose body was never
//! read can't have reached the upstream completely.

use std::io::{Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body::{Body as HttpBody, BodyKind};

/// size up to which headers stay buffered until the body is written, bytes
const BUFFERED_HEADERS: usize = 4096;

/// shared flag that is set once a request may have been sent
#[derive(Debug, Clone)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    /// a flag for a request with this many bytes of headers; set from the start if they exceed
    /// the HTTP library's buffer
    pub fn new(header_bytes: usize) -> Flag {
        Flag(Arc::new(AtomicBool::new(header_bytes > BUFFERED_HEADERS)))
    }

    /// whether the request may have been sent
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// request body that sets a flag when it is written
#[derive(Debug)]
pub struct Body<'a> {
    bytes: &'a [u8],
    flag: Flag,
}

impl<'a> Body<'a> {
    /// a body that sets `flag` as soon as its first byte is written
    pub fn new(bytes: &'a [u8], flag: &Flag) -> Body<'a> {
        Body {
            bytes,
            flag: flag.clone(),
        }
    }
}

impl HttpBody for Body<'_> {
    fn kind(&mut self) -> Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> Result<()> {
        self.flag.0.store(true, Ordering::SeqCst);
        writer.write_all(self.bytes)
    }
}
