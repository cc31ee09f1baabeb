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
    /// longest time to the answer or the first token that is of use
    pub patience: Duration,
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
    /// tokens of the prompt that it has to read
    pub uncached: u32,
    /// how far it is
    pub near: Near,
}

/// what to do with a request
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// send it to this VM
    Send(Pick),
    /// no VM can answer in time; there is room after this time
    Full(Duration),
    /// there is no VM
    Nobody,
}
