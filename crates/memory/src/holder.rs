use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};

use macro_rules_attribute::apply;
use schema::value;
use tokio::sync::Notify;

/// what a connection waits for from its peer
#[apply(value!)]
#[repr(u8)]
pub enum Waiting {
    /// nothing: it is idle, or the process works on its request
    Nothing,
    /// the first byte on the connection
    FirstByte,
    /// the end of a request head
    Head,
    /// the end of a request body
    Body,
    /// that it reads a response
    Reading,
}

/// state of one connection, which its charges share
#[derive(Debug)]
pub(crate) struct Holder {
    pub id: u64,
    held: AtomicUsize,
    transferred: AtomicU64,
    waiting: AtomicU8,
    is_ended: AtomicBool,
    pub ended: Notify,
}

impl Holder {
    pub fn new(id: u64) -> Holder {
        Holder {
            id,
            held: AtomicUsize::new(0),
            transferred: AtomicU64::new(0),
            waiting: AtomicU8::new(Waiting::FirstByte as u8),
            is_ended: AtomicBool::new(false),
            ended: Notify::new(),
        }
    }

    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn add(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// removes bytes; whether they were still held, which they are not once it was ended
    pub fn remove(&self, bytes: usize) -> bool {
        let remove = |held: usize| held.checked_sub(bytes);
        let removed = self
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, remove);
        removed.is_ok()
    }

    /// total of bytes read and written
    pub fn transferred(&self) -> u64 {
        self.transferred.load(Ordering::Relaxed)
    }

    pub fn record_transfer(&self, bytes: usize) {
        self.transferred.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn waiting(&self) -> Waiting {
        match self.waiting.load(Ordering::Relaxed) {
            1 => Waiting::FirstByte,
            2 => Waiting::Head,
            3 => Waiting::Body,
            4 => Waiting::Reading,
            _ => Waiting::Nothing,
        }
    }

    pub fn set_waiting(&self, waiting: Waiting) {
        self.waiting.store(waiting as u8, Ordering::Relaxed);
    }

    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }

    /// ends the connection and returns the bytes that it held
    pub fn end(&self) -> usize {
        self.is_ended.store(true, Ordering::Relaxed);
        let held = self.held.swap(0, Ordering::Relaxed);
        self.ended.notify_waiters();
        held
    }
}
