//! Fair shares of a service's capacity for workspaces while capacity is short.
//!
//! Load pattern: one workspace sends several times its usual traffic while two thirds of the VMs are
//! lost and no replacement is available. Callers of the others are refused as often as its own.
//!
//! Every daemon derives the shares from the demand that all daemons report, so that nobody has to
//! agree on them. They are weighted max-min fair: what a workspace does not use is divided among the
//! rest. Of the requests of a workspace beyond its share, a part is marked by a draw, less urgent
//! kinds first, and accepted only where a VM is idle. Without refusals for lack of capacity, nothing is
//! marked.
//!
//! The capacity is what VMs respond to, scaled to their number and raised a little, so that it grows
//! while they have room; it is lowered while responses are late, since loads that are seconds old hide
//! the queues of VMs. All daemons together then mark as much as can't be served. What VMs respond to
//! does not depend on what is accepted as long as they have a queue, so that the capacity can't shrink
//! to nothing by refusals, however late the reports are.
//!
//! A caller that comes back has the same draw, so that repeating does not raise the share of its
//! workspace, and is no new demand. Clients that state a short time, to seem to have come back, are
//! counted by what is served to them.

mod demand;
mod meter;
mod service;
mod shares;

use std::collections::HashMap;

use tokio::time::Instant;

pub use demand::{Demand, Demands};
use service::Service;
pub use service::State;
pub use shares::fractions;

/// prefilled tokens that take as much of an engine as one generated token: a decode step of 3.5 ms
/// serves some 28 requests, in which 8 to 20 tokens are prefilled
const OUTPUT_TOKEN_WORK: f64 = 8.0;

/// work of a request besides its tokens, and of a request without tokens
const REQUEST_WORK: f64 = 200.0;

/// work of a request, in tokens to prefill
pub fn work(prefill_tokens: u32, output_tokens: u32) -> f64 {
    REQUEST_WORK + f64::from(prefill_tokens) + OUTPUT_TOKEN_WORK * f64::from(output_tokens)
}

/// how a request stands to the share of its workspace
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// capacity is not short
    #[default]
    Usual,
    /// within the share
    Within,
    /// beyond the share
    Beyond,
}

/// an attempt of a caller
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// service
    pub service: &'a str,
    /// workspace; empty if the route needs no key
    pub workspace: &'a str,
    /// priority, 0 is the most urgent
    pub priority: u8,
    /// whether its caller was refused before and has come back
    pub is_repeated: bool,
}

/// demand for all services, and the shares derived from it
#[derive(Debug, Clone, Default)]
pub struct Fairness {
    services: HashMap<String, Service>,
}

impl Fairness {
    /// state without demand
    pub fn new() -> Fairness {
        Fairness::default()
    }

    /// counts an attempt of a caller of this daemon with its work
    pub fn record(&mut self, attempt: &Attempt<'_>, work: f64, is_refused: bool, now: Instant) {
        if !self.services.contains_key(attempt.service) {
            self.services
                .insert(attempt.service.to_owned(), Service::default());
        }
        if let Some(service) = self.services.get_mut(attempt.service) {
            service.record(attempt, work, is_refused, now);
        }
    }

    /// counts the response, or its first event, to an attempt
    pub fn record_response(
        &mut self,
        attempt: &Attempt<'_>,
        work: f64,
        is_late: bool,
        now: Instant,
    ) {
        if let Some(service) = self.services.get_mut(attempt.service) {
            service.record_response(attempt, work, is_late, now);
        }
    }

    /// sets the demand that a peer reported, or the sum of several
    pub fn set_peer(&mut self, peer: &str, demands: &Demands, now: Instant) {
        for (name, service) in &mut self.services {
            if !demands.contains_key(name) {
                service.remove_peer(peer);
            }
        }
        for (name, workspaces) in demands {
            let service = self.services.entry(name.clone()).or_default();
            service.set_peer(peer, workspaces.clone(), now);
        }
    }

    /// the demand of this daemon's callers, for a report
    pub fn demands(&mut self, now: Instant) -> Demands {
        let services = self.services.iter_mut();
        let demands = services.map(|(name, service)| (name.clone(), service.demand(now)));
        demands
            .filter(|(_, workspaces)| !workspaces.is_empty())
            .collect()
    }

    /// derives the shares; `vms` is the number of VMs of a service, `weight` the weight of a workspace
    pub fn update(
        &mut self,
        vms: impl Fn(&str) -> usize,
        weight: impl Fn(&str) -> f64,
        now: Instant,
    ) {
        for (name, service) in &mut self.services {
            service.update(vms(name), &weight, now);
        }
    }

    /// how an attempt stands to the share of its workspace; `draw` is uniformly distributed over
    /// callers, and the same for each attempt of one
    pub fn standing(&self, attempt: &Attempt<'_>, draw: u64) -> Standing {
        let service = self.services.get(attempt.service);
        service.map_or(Standing::Usual, |service| service.standing(attempt, draw))
    }

    /// services with the state from which their shares are derived
    pub fn states(&self) -> impl Iterator<Item = (&str, &State)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.as_str(), service.state()))
    }
}
