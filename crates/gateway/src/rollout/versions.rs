use std::collections::{BTreeMap, HashMap};

use crate::adapter::Revision;
use crate::model::Vm;

/// versions of the listed VMs, and the revision of the list in which each was first seen
///
/// Load pattern: VMs of a new version are started together with the request to move to it, and a daemon
/// may learn of them first. It uses a version that it has not known before only once the list of requests is
/// complete up to that revision. Revisions are those of the store, the same at all daemons: by the time at
/// which a daemon saw the version, one that follows another one would wait for the end of its next watch.
#[derive(Debug, Default)]
pub(super) struct Versions {
    first_seen: BTreeMap<(String, String), Option<Revision>>,
}

impl Versions {
    /// records the listed VMs; true if there is a version that was not known
    pub fn record<'a>(
        &mut self,
        vms: impl Iterator<Item = &'a Vm>,
        revision: Option<Revision>,
    ) -> bool {
        let mut listed = BTreeMap::new();
        let mut has_new = false;
        for vm in vms {
            let key = (vm.service.clone(), vm.version.clone());
            let known = self.first_seen.get(&key);
            has_new |= known.is_none();
            listed.insert(key, known.copied().unwrap_or(revision));
        }
        self.first_seen = listed;
        has_new
    }

    /// whether VMs of a version are listed
    pub fn is_listed(&self, service: &str, version: &str) -> bool {
        let key = (service.to_owned(), version.to_owned());
        self.first_seen.contains_key(&key)
    }

    /// the versions of a service that were first seen at a revision up to which the list of requests is
    /// not known to be complete; if none was known before, all but that of the VM that started first
    pub fn unconfirmed<'a>(
        &self,
        service: &str,
        vms: impl Iterator<Item = &'a Vm>,
        confirmed: Option<Revision>,
    ) -> Vec<String> {
        let is_confirmed = |seen: Option<Revision>| confirmed.is_some() && confirmed >= seen;
        let of_service = self
            .first_seen
            .iter()
            .filter(|((name, _), _)| name == service);
        let seen: HashMap<&str, Option<Revision>> = of_service
            .map(|((_, version), at)| (version.as_str(), *at))
            .collect();
        let mut unconfirmed: Vec<String> = seen
            .iter()
            .filter(|(_, at)| !is_confirmed(**at))
            .map(|(version, _)| (*version).to_owned())
            .collect();
        let first_seen = seen.values().min();
        // versions that were first seen together: that of the oldest VM is the one in use
        let together: Vec<&str> = seen
            .iter()
            .filter(|(_, at)| Some(*at) == first_seen)
            .map(|(version, _)| *version)
            .collect();
        let of_these =
            vms.filter(|vm| vm.service == service && together.contains(&vm.version.as_str()));
        if let Some(oldest) = of_these.min_by_key(|vm| vm.started_at_ms) {
            unconfirmed.retain(|version| *version != oldest.version);
        }
        unconfirmed
    }
}
