//! Which versions of a service's software get requests.

use std::collections::HashSet;

use tokio::time::Instant;

use super::balancer::{Balancer, Service};
use super::entry::Entry;
use super::request::{Choice, Request};
use crate::rollout::{Order, is_target};

/// VMs of a version that have to refuse connections, without a response of another one since, until
/// the version counts as gone: trying each of tens of VMs takes longer than callers wait
const GONE_VMS: usize = 3;

/// versions of a service that are not used alike
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Split {
    /// versions that get no requests at all, as they are known to be bad or were given up
    pub stopped: Vec<String>,
    /// versions that get requests only if no VM of another one is left, as they have not been
    /// confirmed yet or were replaced
    pub held: Vec<String>,
    /// the version to which requests are moved, if there is one
    pub target: Option<Target>,
}

/// a version that gets a share of the requests
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// the request to move to it
    pub order: Order,
    /// share of the requests that it gets
    pub share: f64,
    /// ids of the VMs that get them
    pub vms: HashSet<String>,
}

/// group of VMs that are considered together
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tier {
    /// VMs of the new version that get requests
    Target,
    /// VMs of the versions in force
    InForce,
    /// the other VMs of versions that are not stopped
    Rest,
}

impl Split {
    fn is_stopped(&self, version: &str) -> bool {
        self.stopped.iter().any(|stopped| stopped == version)
    }

    /// whether a VM belongs to a group
    fn contains(&self, tier: Tier, entry: &Entry) -> bool {
        let version = &entry.member.version;
        if self.is_stopped(version) {
            return false;
        }
        let target = self.target.as_ref();
        let target = target.filter(|target| target.order.target == *version);
        match tier {
            Tier::Target => target.is_some_and(|target| target.vms.contains(&entry.member.id)),
            Tier::InForce => target.is_none() && !self.held.contains(version),
            Tier::Rest => true,
        }
    }

    /// groups to try in this order, and whether a request that the first one can't take in time goes to
    /// the next one
    fn tiers(&self, draw: u64) -> (&'static [Tier], bool) {
        let target = self.target.as_ref();
        // the draw is a hash of the request's id
        let is_target =
            target.filter(|target| is_target(&target.order, &format!("{draw:x}"), target.share));
        match is_target {
            // while there are two versions, a full canary is no reason to refuse a request
            Some(target) => (
                &[Tier::Target, Tier::InForce, Tier::Rest],
                target.share < 1.0,
            ),
            None => (&[Tier::InForce, Tier::Rest], false),
        }
    }
}

impl Balancer {
    /// sets which versions of a service get requests; none if all are used alike
    pub fn set_split(&mut self, service: &str, split: Option<Split>) {
        if split.is_none() && !self.services.contains_key(service) {
            return;
        }
        let state = self.services.entry(service.to_owned()).or_default();
        state.split = split.map(Box::new);
    }

    /// whether a VM gets no requests as its version is stopped
    pub fn is_stopped(&self, service: &str, id: &str) -> bool {
        let is_stopped = || {
            let state = self.services.get(service)?;
            let entry = state.entries.get(id)?;
            Some(state.split.as_ref()?.is_stopped(&entry.member.version))
        };
        is_stopped().unwrap_or(false)
    }

    /// records that a VM refused the connection, or could not be reached
    pub fn record_unreachable(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(entry) = self.entry(service, id) {
            entry.health.record_unreachable(now);
        }
    }

    /// ids of a service's VMs that can't be reached
    pub fn unreachable(&self, service: &str, now: Instant) -> HashSet<&str> {
        let state = self.services.get(service);
        let entries = state.into_iter().flat_map(|state| state.entries.values());
        entries
            .filter(|entry| entry.health.unreachable_since(now).is_some())
            .map(|entry| entry.member.id.as_str())
            .collect()
    }

    /// chooses a VM of a version that may serve the request
    pub(super) fn choose_version(
        &self,
        state: &Service,
        split: &Split,
        request: &Request<'_>,
        now: Instant,
    ) -> Choice {
        if let Some(version) = request.version {
            let has_version =
                |entry: &Entry| entry.member.version == version && !split.is_stopped(version);
            return self.choose_among(state, request, has_version, now);
        }
        let (tiers, goes_on_if_full) = split.tiers(request.draw);
        let mut first = None;
        for (index, tier) in tiers.iter().enumerate() {
            let was_tried = |entry: &Entry| {
                tiers[..index]
                    .iter()
                    .any(|tier| split.contains(*tier, entry))
            };
            let in_tier = |entry: &Entry| split.contains(*tier, entry) && !was_tried(entry);
            let choice = self.choose_among(state, request, in_tier, now);
            let is_last = match &choice {
                Choice::Send(_) => !is_gone(state, in_tier, now),
                Choice::Full(_) => !(goes_on_if_full && first.is_none()),
                Choice::NoVm => false,
            };
            if is_last {
                return choice;
            }
            first = match first {
                Some(Choice::NoVm) | None => Some(choice),
                first => first,
            };
        }
        first.unwrap_or(Choice::NoVm)
    }
}

/// whether the VMs of a group refuse connections: all of them, or several without a response of
/// another one since
fn is_gone(state: &Service, in_tier: impl Fn(&Entry) -> bool, now: Instant) -> bool {
    let entries = || state.entries.values().filter(|entry| in_tier(entry));
    let unreachable = || entries().filter_map(|entry| entry.health.unreachable_since(now));
    let Some(first) = unreachable().min() else {
        return false;
    };
    let is_responding = |entry: &Entry| entry.health.last_activity().is_some_and(|at| at >= first);
    unreachable().count() >= entries().count().min(GONE_VMS) && !entries().any(is_responding)
}
