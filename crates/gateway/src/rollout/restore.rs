use super::active::Active;
use super::entry::Entry;
use super::message::{Saved, Stop};
use crate::adapter::Dialect;
use crate::shared::Shared;

impl<D: Dialect> Shared<D> {
    /// the roll-outs for a checkpoint
    pub(crate) fn saved_rollouts(&self) -> Vec<Saved> {
        let now = self.clock.now();
        let now_ms = self.wall_clock.now_ms();
        let active = self.rollouts.active.borrow();
        let saved = active.values().map(|active| Saved {
            name: active.entry.name.clone(),
            id: active.order.id,
            request: active.entry.request,
            is_certain: active.entry.is_certain,
            started_ms: now_ms.saturating_sub(active.elapsed(now).as_millis() as u64),
            end: active.end,
        });
        saved.collect()
    }

    /// takes over the roll-outs and the stops of a checkpoint; this daemon may have seen the requests
    /// already
    pub(crate) fn restore_rollouts(&self, saved: Vec<Saved>, stops: &[Stop]) {
        if self.settings.rollout.is_none() {
            return;
        }
        self.merge_stops(stops, "the checkpoint states it", false);
        self.rollouts.saved.borrow_mut().extend(saved);
        for active in self.rollouts.active.borrow_mut().values_mut() {
            if let Some(saved) = self.take_saved(&mut active.entry) {
                active.restore(&saved);
            }
        }
        self.rollouts.changed.notify_one();
    }

    /// what a checkpoint has of a request that this daemon sees for the first time; also sets when it
    /// was made
    pub(super) fn take_saved(&self, entry: &mut Entry) -> Option<Saved> {
        let mut all = self.rollouts.saved.borrow_mut();
        let index = all.iter().position(|saved| {
            let is_known = entry.name == saved.name && entry.id(entry.request) == saved.id;
            is_known || entry.adopt(saved.id, saved.request, saved.is_certain)
        })?;
        Some(all.remove(index))
    }
}

impl Active {
    /// takes over what a checkpoint has of the request
    pub fn restore(&mut self, saved: &Saved) {
        self.order = self.entry.order();
        self.saved_ms = Some(saved.started_ms);
        self.end = self.end.or(saved.end);
    }
}
