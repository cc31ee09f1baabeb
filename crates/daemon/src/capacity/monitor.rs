//! Load of the managed VMs, as polled by the holder of the lease.
//!
//! The holder polls a few engines in each step, at a fixed rate, so that its
//! traffic does not grow with the fleet: at 5 engines a second a round over 23 engines
//! takes 5 s, one over 600 engines 2 minutes. New, draining and unresponsive VMs go first.
//!
//! Plain services report no load. Their demand is estimated as the local requests in
//! flight times the number of daemons, since a balancer spreads callers evenly over
//! daemons. The load of a single VM of a plain service is unknown, so a drained one
//! stays for the 15 minutes after which [`fleet`] removes a VM without load reports.

use std::collections::{BTreeMap, HashMap};
use std::thread;
use std::time::Duration;

use entry::Context;
use fleet::{Demand, Load};
use route::table::{Row, Vm};
use schema::config::Kind;
use tokio::time::Instant;

use super::leadership::Leadership;
use super::sample::{self, Sample};

/// engines polled in one step of 2 s; with two calls each that is about half of the 7 KB/s
/// budget for control traffic
const MAX_POLLS_PER_STEP: usize = 10;
/// engines polled at the same time
const MAX_PARALLEL_POLLS: usize = 5;
/// age up to which a load shows that a drained VM has finished
const MAX_DRAINED_LOAD_AGE: Duration = Duration::from_secs(6);
/// consecutive failed polls after which a VM counts as unresponsive
const UNRESPONSIVE_AFTER_MISSES: u32 = 2;

/// last load of one VM
#[derive(Debug, Clone, Copy)]
struct Observation {
    in_flight: u32,
    misses: u32,
    at: Instant,
}

/// load of the managed VMs
#[derive(Debug, Default)]
pub struct Monitor {
    observations: HashMap<String, Observation>,
}

impl Monitor {
    /// polls some of the engines among the VMs
    pub fn poll(&mut self, context: &Context, leadership: &Leadership, rows: &[Row]) {
        let models: Vec<&Row> = rows
            .iter()
            .filter(|row| is_model(context, &row.vm))
            .collect();
        self.observations
            .retain(|name, _| models.iter().any(|row| row.vm.name == *name));
        let engines_to_poll = self.engines_to_poll(&models);
        let chunk_size = engines_to_poll.len().div_ceil(MAX_PARALLEL_POLLS).max(1);
        let poll = |vms: &[&Vm]| -> Vec<Sample> {
            vms.iter()
                .map(|vm| sample::take(context, leadership, vm))
                .collect()
        };
        let samples: Vec<Sample> = thread::scope(|scope| {
            let calls: Vec<_> = engines_to_poll
                .chunks(chunk_size)
                .map(|vms| scope.spawn(move || poll(vms)))
                .collect();
            let results = calls.into_iter().filter_map(|call| call.join().ok());
            results.flatten().collect()
        });
        for sample in samples {
            self.record(&sample, Instant::now());
        }
    }

    /// load of each VM that was polled
    pub fn loads(&self, rows: &[Row], now: Instant) -> Vec<Load> {
        let mut loads = Vec::new();
        for row in rows {
            let Some(last) = self.observations.get(&row.vm.name) else {
                continue;
            };
            let is_fresh = last.misses == 0 && now < last.at + MAX_DRAINED_LOAD_AGE;
            // a drained VM may be removed because of this load
            if row.draining && !is_fresh {
                continue;
            }
            loads.push(Load {
                vm: row.vm.name.clone(),
                in_flight: last.in_flight,
                draining: row.draining,
                unresponsive: last.misses >= UNRESPONSIVE_AFTER_MISSES,
            });
        }
        loads
    }

    /// demand by service; left out for a model service most of whose engines are unresponsive
    pub fn demand(&self, context: &Context, rows: &[Row]) -> BTreeMap<String, Vec<Demand>> {
        let mut services: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
        for row in rows {
            services.entry(&row.vm.service).or_default().push(row);
        }
        let daemons = u32::try_from(context.node.members().len()).unwrap_or(u32::MAX);
        let mut demand = BTreeMap::new();
        for (service, rows) in services {
            let is_model = rows.iter().any(|row| is_model(context, &row.vm));
            let responsive = rows
                .iter()
                .filter(|row| self.is_responsive(&row.vm.name))
                .count();
            if is_model && responsive * 2 < rows.len() {
                continue;
            }
            let mut regions: BTreeMap<&str, u32> = BTreeMap::new();
            for row in rows {
                let in_flight = match is_model {
                    true => self
                        .observations
                        .get(&row.vm.name)
                        .map_or(0, |last| last.in_flight),
                    false => row.in_flight.saturating_mul(daemons),
                };
                let sum = regions.entry(&row.vm.region).or_default();
                *sum = sum.saturating_add(in_flight);
            }
            let regions = regions.into_iter().map(|(region, in_flight)| Demand {
                region: region.to_owned(),
                in_flight,
                queued: 0,
            });
            demand.insert(service.to_owned(), regions.collect());
        }
        demand
    }

    /// the engines to poll in this step
    fn engines_to_poll<'a>(&self, rows: &[&'a Row]) -> Vec<&'a Vm> {
        let mut rows = rows.to_vec();
        rows.sort_by_key(|row| {
            let last = self.observations.get(&row.vm.name);
            let is_urgent = row.draining || last.is_none_or(|last| last.misses > 0);
            (!is_urgent, last.map(|last| last.at))
        });
        rows.into_iter()
            .take(MAX_POLLS_PER_STEP)
            .map(|row| &row.vm)
            .collect()
    }

    fn record(&mut self, sample: &Sample, now: Instant) {
        let previous = self.observations.get(&sample.vm);
        let observation = match sample.in_flight {
            Some(in_flight) => Observation {
                in_flight,
                misses: 0,
                at: now,
            },
            None => Observation {
                in_flight: previous.map_or(0, |last| last.in_flight),
                misses: previous.map_or(0, |last| last.misses) + 1,
                at: now,
            },
        };
        self.observations.insert(sample.vm.clone(), observation);
    }

    fn is_responsive(&self, vm: &str) -> bool {
        self.observations
            .get(vm)
            .is_some_and(|last| last.misses < UNRESPONSIVE_AFTER_MISSES)
    }
}

fn is_model(context: &Context, vm: &Vm) -> bool {
    let snapshot = context.snapshot.load();
    let service = snapshot.service(&vm.service);
    service.is_some_and(|service| service.kind == Kind::Model)
}
