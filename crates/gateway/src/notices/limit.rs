use route::notice::{Daemon, Limited, share};
use tokio::time::Instant;

use super::exchange::log_limit;
use crate::adapter::Dialect;
use crate::peers::Peer;
use crate::shared::Shared;

impl<D: Dialect> Shared<D> {
    /// sets the daemons among which the limits of VMs are divided, and the number of members, which
    /// includes those that stop
    pub fn set_senders(&self, daemons: Vec<Peer>, members: usize) {
        let part = self.notices.reach.part(members, Instant::now());
        self.notices.part.set(part);
        *self.notices.daemons.borrow_mut() = daemons;
        let now_ms = self.wall_clock.now_ms();
        for expired in self.notices.table.borrow_mut().expire(now_ms) {
            log_limit(&expired, "not stated any more");
        }
        self.update_limits();
    }

    /// sets the number of registered daemons, of which some may not be reached
    pub fn set_registered(&self, daemons: usize) {
        self.notices.reach.record(daemons, Instant::now());
    }

    /// divides the limits that VMs state anew among the daemons
    pub fn update_limits(&self) {
        let daemons = self.notices.daemons.borrow();
        let daemons: Vec<Daemon<'_>> = daemons
            .iter()
            .map(|Peer { name, zone }| Daemon { name, zone })
            .collect();
        let vms = self.vms.borrow();
        let table = self.notices.table.borrow();
        let limit = |id: &str, started_at_ms: u64| {
            let limit = table.limit(id, started_at_ms)?;
            let limited = Limited {
                id,
                zone: vms.get(id).map_or("", |vm| vm.zone.as_str()),
                limit,
                part: self.notices.part.get(),
            };
            Some(share(&limited, &self.settings.name, &daemons))
        };
        let mut placement = self.placement.borrow_mut();
        placement.set_limits(limit, Instant::now());
    }
}
