use tokio::time::Instant;

use super::health::Health;
use super::load::Load;
use super::member::Member;
use super::plain::ResponseTime;
use super::prefix_cache::PrefixCache;

/// a VM and its state at this daemon
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub member: Member,
    pub local: Load,
    pub prefix_cache: PrefixCache,
    pub health: Health,
    pub response_time: ResponseTime,
    /// until when the VM wants no requests from this daemon
    pub closed_until: Option<Instant>,
}

impl Entry {
    pub fn new(member: Member) -> Entry {
        Entry {
            member,
            local: Load::default(),
            prefix_cache: PrefixCache::default(),
            health: Health::new(),
            response_time: ResponseTime::default(),
            closed_until: None,
        }
    }
}
