use std::collections::BTreeSet;

use route::placement::{Split, Target};
use route::rollout::State;

use super::active::Active;
use super::message::Stop;
use crate::adapter::Dialect;
use crate::shared::Shared;

impl<D: Dialect> Shared<D> {
    /// records which versions the listed VMs have, and has the list of requests confirmed if there is
    /// a new one
    pub(crate) fn record_versions(&self) {
        if self.settings.rollout.is_none() {
            return;
        }
        let vms = self.vms.borrow();
        let listed = vms.values().map(|vm| &**vm);
        let mut versions = self.rollouts.versions.borrow_mut();
        let has_new = versions.record(listed, self.relay.vm_revision());
        drop(versions);
        drop(vms);
        self.rollouts.changed.notify_one();
        if has_new && self.has_unconfirmed_versions() {
            self.rollouts.confirmation_wanted.notify_one();
        }
        // before the next request is placed
        self.apply_splits();
    }

    /// whether a version waits for the list of requests to be confirmed
    pub(super) fn has_unconfirmed_versions(&self) -> bool {
        let services = self.services_with_versions();
        let mut services = services.iter();
        services.any(|service| !self.unconfirmed_versions(service).is_empty())
    }

    fn services_with_versions(&self) -> BTreeSet<String> {
        let vms = self.vms.borrow();
        vms.values().map(|vm| vm.service.clone()).collect()
    }

    fn unconfirmed_versions(&self, service: &str) -> Vec<String> {
        let confirmed = self.relay.rollouts_revision();
        let vms = self.vms.borrow();
        let listed = vms.values().map(|vm| &**vm);
        let versions = self.rollouts.versions.borrow();
        versions.unconfirmed(service, listed, confirmed)
    }

    /// versions that get no requests, or only if there is no other, besides the target of a request
    pub(super) fn unused_versions(&self, active: &Active) -> Vec<String> {
        let stops = self.rollouts.stops.borrow();
        let of_service = stops.of_service(&active.order.service);
        let others = of_service.filter(|stop| !active.supersedes(stop));
        others.map(|stop| stop.version.clone()).collect()
    }

    /// sets which versions the balancer uses
    pub(super) fn apply_splits(&self) {
        let mut services = self.services_with_versions();
        let active = self.rollouts.active.borrow();
        services.extend(active.values().map(|active| active.order.service.clone()));
        drop(active);
        for service in services {
            let split = self.split(&service);
            let split = (split != Split::default()).then_some(split);
            self.placement.borrow_mut().set_split(&service, split);
        }
    }

    fn split(&self, service: &str) -> Split {
        let mut split = Split {
            held: self.unconfirmed_versions(service),
            ..Split::default()
        };
        let all = self.rollouts.active.borrow();
        let of_service: Vec<&Active> = all
            .values()
            .filter(|active| active.order.service == service)
            .collect();
        let stops = self.rollouts.stops.borrow();
        for stop in stops.of_service(service) {
            if of_service.iter().any(|active| active.supersedes(stop)) {
                continue;
            }
            if stop.is_bad {
                split.stopped.push(stop.version.clone());
            } else {
                split.held.push(stop.version.clone());
            }
        }
        for active in of_service {
            let target = &active.order.target;
            match active.end {
                Some(State::Completed) => {
                    split.held.extend(active.replaced.iter().cloned());
                    split.held.retain(|version| version != target);
                }
                Some(_) if active.rejected.is_none() => split.held.push(target.clone()),
                Some(_) => {}
                None => split.target = Some(active.target()),
            }
        }
        split
    }

    /// the version to which a service is being moved
    pub(crate) fn rollout_target(&self, service: &str) -> Option<String> {
        let all = self.rollouts.active.borrow();
        let mut of_service = all
            .values()
            .filter(|active| active.order.service == service && active.is_in_progress());
        of_service.next().map(|active| active.order.target.clone())
    }
}

impl Active {
    /// whether this request is a newer one for the same version, or was completed although it was
    /// stopped
    pub fn supersedes(&self, stop: &Stop) -> bool {
        let is_same_version =
            self.order.service == stop.service && self.order.target == stop.version;
        let is_completed = self.end == Some(State::Completed) && self.rejected.is_none();
        let position = (self.entry.revision.generation, self.entry.request);
        let is_newer = self.order.id != stop.id && position > (stop.generation, stop.request);
        let is_carried_out = self.rejected.is_none();
        is_same_version
            && is_carried_out
            && (is_newer || (is_completed && self.order.id == stop.id))
    }

    /// the stop of this request's version
    pub fn stop(&self, is_bad: bool) -> Stop {
        Stop {
            service: self.order.service.clone(),
            version: self.order.target.clone(),
            id: self.order.id,
            generation: self.entry.revision.generation,
            request: self.entry.request,
            is_bad,
        }
    }

    fn target(&self) -> Target {
        Target {
            order: self.order.clone(),
            share: self.decision.map_or(0.0, |decision| decision.share),
            vms: self.vms.clone(),
        }
    }
}
