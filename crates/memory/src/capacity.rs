use macro_rules_attribute::apply;
use schema::value;

/// fraction of the machine's memory that callers may occupy
///
/// Half of it is the target for the whole process. The rest of that half is for what the process
/// needs without callers (13 MB), for peers, and for what the allocator can't reuse: with a quarter,
/// 400 unread responses took 72 to 92 MB of 80 MB in a debug build.
const ACCOUNT_FRACTION: u64 = 5;

/// charges from this size on leave a part of the capacity to smaller ones
pub(crate) const LARGE_BYTES: usize = 64 * 1024;

/// fraction of the capacity that large charges leave to small ones
const SMALL_FRACTION: usize = 8;

/// fraction of the capacity that connections leave to requests
const REQUEST_FRACTION: usize = 4;

/// most bytes that a process holds for its callers
#[apply(value!)]
pub struct Capacity(usize);

impl Capacity {
    /// for a process on a machine with this much memory; unbounded if it is unknown
    pub fn of_machine(bytes: Option<u64>) -> Capacity {
        let bytes = bytes.map(|bytes| bytes / ACCOUNT_FRACTION);
        Capacity(bytes.map_or(usize::MAX, |bytes| {
            usize::try_from(bytes).unwrap_or(usize::MAX)
        }))
    }

    /// a number of bytes
    pub fn bytes(self) -> usize {
        self.0
    }

    /// whether no memory of the machine was stated
    pub fn is_unbounded(self) -> bool {
        self.0 == usize::MAX
    }

    /// most bytes that may be held after a charge of this size
    pub fn limit_for(self, charge: usize) -> usize {
        if charge < LARGE_BYTES {
            self.0
        } else {
            self.large_limit()
        }
    }

    /// most bytes that may be held after a large charge
    pub fn large_limit(self) -> usize {
        self.0 - self.0 / SMALL_FRACTION
    }

    /// most connections, each of which holds this many bytes
    pub fn connections(self, bytes_each: usize) -> usize {
        (self.0 - self.0 / REQUEST_FRACTION) / bytes_each.max(1)
    }
}
