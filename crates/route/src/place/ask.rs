use std::time::Duration;

/// how far a VM is
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Near {
    /// in this daemon's zone
    Zone,
    /// in its region
    Region,
    /// across the link between regions
    Link,
}

/// how long a request may be expected to take to its answer or first token
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// longest time in all
    pub total: Duration,
    /// wait for others' work with which it is taken in any case: a long prompt may need
    /// more than the time in all by itself
    pub wait: Duration,
}

impl Patience {
    /// so long, whatever it consists of
    pub fn total(total: Duration) -> Patience {
        Patience {
            total,
            wait: Duration::ZERO,
        }
    }
}

/// a request that needs a VM
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// the service
    pub service: &'a str,
    /// ids and tokens of the prompt's parts; the last one is the request's own
    pub parts: &'a [(u64, u32)],
    /// tokens of the prompt
    pub prompt_tokens: u32,
    /// most tokens of the output
    pub output_tokens: u32,
    /// longest expected time with which it is taken
    pub patience: Patience,
    /// a number of the request by which VMs that are alike are chosen evenly
    pub draw: u64,
    /// VMs that have failed this request
    pub avoid: &'a [String],
}

/// a VM for a request
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// its instance id
    pub id: String,
    /// expected time to the answer or the first token
    pub expected: Duration,
    /// the part of it that is the request's own work
    pub own: Duration,
    /// tokens of the prompt that it has to read
    pub uncached: u32,
    /// how far it is
    pub near: Near,
}

/// why a request is not taken
#[derive(Debug, Clone, PartialEq)]
pub struct Full {
    /// time after which there is room
    pub room: Duration,
    /// the best VM
    pub id: String,
    /// expected time there
    pub expected: Duration,
}

/// what to do with a request
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// send it to this VM
    Send(Pick),
    /// no VM can answer in time
    Full(Full),
    /// there is no VM
    Nobody,
}
