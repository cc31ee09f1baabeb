use std::collections::HashMap;

use super::notice::Notice;

/// time after which a limit ends that no response has stated since, and for which the end of one is
/// reported, so that a daemon that was cut off does not keep it
const RETENTION_MS: u64 = 600_000;

/// time for which a statement may lie ahead of this daemon's estimate of the time: an hour of
/// back-off
const MAX_AHEAD_MS: u64 = 3_600_000;

/// largest number of VMs with statements
const MAX_VMS: usize = 4096;

/// the statements of all VMs
#[derive(Debug, Clone, Default)]
pub struct Table {
    notices: HashMap<String, Notice>,
}

impl Table {
    /// returns a table without statements
    pub fn new() -> Table {
        Table::default()
    }

    /// adds statements; returns what is known of the VM now if there was anything in them that other
    /// daemons have to receive
    pub fn merge(&mut self, notice: &Notice, now_ms: u64) -> Option<Notice> {
        let mut notice = notice.clone();
        let latest_ms = now_ms.saturating_add(MAX_AHEAD_MS);
        notice.closed_until_ms = notice.closed_until_ms.min(latest_ms);
        notice.limit_stated_ms = notice.limit_stated_ms.min(now_ms);
        if notice.limit.is_some_and(|limit| !limit.is_finite()) {
            return None;
        }
        let id = notice.vm.clone();
        let known = self.notices.get(&id);
        if known.is_some_and(|known| known.started_at_ms > notice.started_at_ms) {
            return None;
        }
        let is_process_known =
            known.is_some_and(|known| known.started_at_ms == notice.started_at_ms);
        if !is_process_known {
            if !self.has_room(&id, now_ms) {
                return None;
            }
            let new = Notice::new(&id, notice.started_at_ms);
            self.notices.insert(id.clone(), new);
        }
        let known = self.notices.get_mut(&id)?;
        known.merge(&notice).then(|| known.clone())
    }

    /// ends the limits that no response has stated for a long time; returns those
    pub fn expire(&mut self, now_ms: u64) -> Vec<Notice> {
        let mut expired = Vec::new();
        for notice in self.notices.values_mut() {
            let is_old = notice.limit_stated_ms.saturating_add(RETENTION_MS) < now_ms;
            if is_old && notice.limit.take().is_some() {
                expired.push(notice.clone());
            }
        }
        expired
    }

    /// what is known of a process of a VM
    pub fn get(&self, vm: &str, started_at_ms: u64) -> Option<&Notice> {
        let notice = self.notices.get(vm)?;
        (notice.started_at_ms == started_at_ms).then_some(notice)
    }

    /// requests per second that a process of a VM accepts from all daemons together, if it limits them
    pub fn limit(&self, vm: &str, started_at_ms: u64) -> Option<f64> {
        self.get(vm, started_at_ms)?.limit
    }

    /// the statements that other daemons may lack: back-offs, limits and ends of limits; drains are in
    /// the list of VMs
    pub fn in_force(&self, now_ms: u64) -> Vec<Notice> {
        let is_in_force = |notice: &&Notice| {
            let is_end_recent = notice.limit_ended_ms.saturating_add(RETENTION_MS) > now_ms;
            notice.limit.is_some()
                || notice.closed_until_ms > now_ms
                || (notice.limit_ended_ms > 0 && is_end_recent)
        };
        self.notices.values().filter(is_in_force).cloned().collect()
    }

    /// number of VMs that limit their requests
    pub fn limited(&self) -> usize {
        let notices = self.notices.values();
        notices.filter(|notice| notice.limit.is_some()).count()
    }

    /// whether a VM may be added, after the outdated ones have been dropped
    fn has_room(&mut self, vm: &str, now_ms: u64) -> bool {
        if self.notices.len() >= MAX_VMS && !self.notices.contains_key(vm) {
            let is_recent =
                |notice: &Notice| notice.latest_ms().saturating_add(RETENTION_MS) > now_ms;
            self.notices.retain(|_, notice| is_recent(notice));
        }
        self.notices.len() < MAX_VMS || self.notices.contains_key(vm)
    }
}
