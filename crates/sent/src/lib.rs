//! A request body that notes when it begins to leave.
//!
//! The HTTP library reports a failed connect and a failed read alike. It asks
//! for the body only once the connection stands, so a request whose body was
//! never asked for did not reach the upstream whole.

use std::io::{Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body::{Body, BodyKind};

/// headers up to this size stay buffered until the body is asked for, bytes
const BUFFERED_HEADERS: usize = 4096;

/// shared note whether a request may have left
#[derive(Debug, Clone)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    /// a note for a request with this many bytes of headers
    pub fn new(header_bytes: usize) -> Flag {
        Flag(Arc::new(AtomicBool::new(header_bytes > BUFFERED_HEADERS)))
    }

    /// whether the request may have left
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// bytes to send, with their note
#[derive(Debug)]
pub struct Bytes<'a> {
    bytes: &'a [u8],
    flag: Flag,
}

impl<'a> Bytes<'a> {
    /// a body that sets `flag` when it begins to leave
    pub fn new(bytes: &'a [u8], flag: &Flag) -> Bytes<'a> {
        Bytes {
            bytes,
            flag: flag.clone(),
        }
    }
}

impl Body for Bytes<'_> {
    fn kind(&mut self) -> Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> Result<()> {
        self.flag.0.store(true, Ordering::SeqCst);
        writer.write_all(self.bytes)
    }
}
