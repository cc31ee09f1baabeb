use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use macro_rules_attribute::apply;
use schema::value;

use crate::account::Total;
use crate::holder::Holder;

/// why bytes can't be charged
#[apply(value!)]
pub enum Refused {
    /// the account has no memory left
    Exhausted,
    /// the connection has lost its memory and is to be closed
    Ended,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::Exhausted => "no memory is left for callers",
            Refused::Ended => "the connection made no progress and lost its memory",
        })
    }
}

impl std::error::Error for Refused {}

/// bytes that a connection holds, released when dropped
#[derive(Debug)]
pub struct Charge {
    total: Arc<Total>,
    holder: Arc<Holder>,
    bytes: usize,
}

impl Charge {
    /// a charge of bytes that were added to the total and to the holder
    pub(crate) fn new(total: Arc<Total>, holder: Arc<Holder>, bytes: usize) -> Charge {
        Charge {
            total,
            holder,
            bytes,
        }
    }

    /// number of bytes
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// adds another charge of the same connection
    pub fn merge(&mut self, mut other: Charge) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// releases all but this many bytes
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.release(excess);
    }

    /// bytes that are released once they have been sent or dropped; not copied
    pub fn attach(self, bytes: Bytes) -> Bytes {
        struct Owner {
            bytes: Bytes,
            _charge: Charge,
        }
        impl AsRef<[u8]> for Owner {
            fn as_ref(&self) -> &[u8] {
                &self.bytes
            }
        }
        Bytes::from_owner(Owner {
            bytes,
            _charge: self,
        })
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 && self.holder.remove(bytes) {
            self.total.release(bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
