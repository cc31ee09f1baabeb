use super::request::Distance;
use super::transfer::Transfer;

/// a VM that may be chosen
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// instance id
    pub id: String,
    /// start time since the Unix epoch; differs after a restart under the same id
    pub started_at_ms: u64,
    /// version of its software
    pub version: String,
    /// network distance
    pub distance: Distance,
    /// requests that it runs concurrently
    pub slots: u32,
    /// size of its KV cache in tokens, if it is an engine
    pub cache_tokens: Option<u64>,
    /// how it transfers KV caches, if it can
    pub transfer: Option<Transfer>,
    /// connections that it accepts from all daemons together; each request uses one
    pub connections: u32,
}
