use std::time::Duration;

/// network distance of a VM
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// in this daemon's zone
    Zone,
    /// in another zone of its region
    Region,
    /// across the link between regions
    Link,
}

/// limits on a request's expected time to its response or first token
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLimit {
    /// longest total time
    pub total: Duration,
    /// queueing time up to which it is accepted even if the total is exceeded: the prefill of
    /// a long prompt may take longer than the total by itself
    pub queueing: Duration,
    /// time for which the caller still waits; what takes longer is never accepted
    pub patience: Duration,
}

impl TimeLimit {
    /// returns a limit on the total time only
    pub fn total(total: Duration) -> TimeLimit {
        TimeLimit {
            total,
            queueing: Duration::ZERO,
            patience: total,
        }
    }

    /// whether a VM is expected to respond within the limits
    pub(super) fn allows(&self, expected: Duration, unloaded: Duration) -> bool {
        let wait = expected.saturating_sub(unloaded);
        expected <= self.patience && (expected <= self.total || wait <= self.queueing)
    }

    /// longest expected time that is accepted, for a prompt whose own prefill takes less
    pub(super) fn longest(&self) -> Duration {
        self.total.min(self.patience)
    }
}

/// a request that needs a VM
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// the service
    pub service: &'a str,
    /// ids and token counts of the prompt's parts; the last one is not shared with other requests
    pub parts: &'a [(u64, u32)],
    /// tokens of the prompt
    pub prompt_tokens: u32,
    /// largest number of output tokens
    pub output_tokens: u32,
    /// limits on the expected time
    pub time_limit: TimeLimit,
    /// per-request number that spreads requests evenly over equivalent VMs
    pub draw: u64,
    /// VMs that have failed this request
    pub avoid: &'a [String],
    /// software version of the VM, if only one may serve the request
    pub version: Option<&'a str>,
}

/// transfer of the KV cache of a part of a prompt
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// instance id of the VM that holds it
    pub from: String,
    /// tokens that are transferred
    pub tokens: u32,
    /// expected time of the transfer, with the wait for the links
    pub time: Duration,
}

/// VM selected for a request
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// instance id
    pub id: String,
    /// expected time to the response or the first token
    pub expected: Duration,
    /// part of it that was measured beyond what reports show
    pub excess: Duration,
    /// expected time on an idle VM, without queueing
    pub unloaded: Duration,
    /// expected time to the response or the first token if this VM is as fast as the others
    pub usual: Duration,
    /// tokens of the prompt that it has to prefill
    pub uncached: u32,
    /// tokens of the prompt that it holds already
    pub cached: u32,
    /// transfer of a part of the prompt from another VM
    pub fetch: Option<Fetch>,
    /// requests in flight there
    pub running: u32,
    /// network distance
    pub distance: Distance,
}

/// details of a refusal for lack of capacity
#[derive(Debug, Clone, PartialEq)]
pub struct Full {
    /// time after which capacity is expected
    pub available_in: Duration,
    /// instance id of the best VM
    pub id: String,
    /// expected time on that VM
    pub expected: Duration,
    /// whether the VMs themselves state that they want no requests until then
    pub is_stated: bool,
}

/// result of selecting a VM for a request
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// send it to this VM
    Send(Pick),
    /// no VM is expected to respond in time
    Full(Full),
    /// the service has no VM
    NoVm,
}
