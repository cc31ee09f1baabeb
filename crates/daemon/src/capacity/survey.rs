//! Load of the steered VMs, as the holder of the lease learns it.
//!
//! The holder asks a few engines in each step, at a fixed pace, so that its
//! traffic does not grow with the fleet: at 5 a second a round over 23 engines
//! takes 5 s, one over 600 engines 2 minutes. New, draining and silent VMs go first.
//!
//! Plain services report no load. Their demand is taken as the own requests in
//! flight times the number of daemons, which a balancer makes alike; what a
//! single VM of theirs runs is not known, so a drained one stays for the 15
//! minutes after which [`fleet`] removes a VM that nobody reports on.

use std::collections::{BTreeMap, HashMap};
use std::thread;
use std::time::Duration;

use entry::Context;
use fleet::{Demand, Load};
use route::table::{Row, Vm};
use schema::config::Kind;
use tokio::time::Instant;

use super::sample::{self, Sample};
use super::tenure::Tenure;

/// engines asked in one step of 2 s; two calls each take about half of the 7 KB/s for control
const PER_STEP: usize = 10;
/// engines asked at the same time
const PARALLEL: usize = 5;
/// age up to which a load says that a drained VM has finished
const FRESH: Duration = Duration::from_secs(6);
/// unanswered calls in a row after which a VM counts as silent
const MISSES: u32 = 2;

/// what is known of one VM
#[derive(Debug, Clone, Copy)]
struct Seen {
    in_flight: u32,
    misses: u32,
    at: Instant,
}

/// load of the steered VMs
#[derive(Debug, Default)]
pub struct Survey {
    seen: HashMap<String, Seen>,
}

impl Survey {
    /// asks some of the engines among the VMs
    pub fn visit(&mut self, context: &Context, tenure: &Tenure, rows: &[Row]) {
        let models: Vec<&Row> = rows
            .iter()
            .filter(|row| is_model(context, &row.vm))
            .collect();
        self.seen
            .retain(|name, _| models.iter().any(|row| row.vm.name == *name));
        let due = self.due(&models);
        let share = due.len().div_ceil(PARALLEL).max(1);
        let ask = |vms: &[&Vm]| -> Vec<Sample> {
            vms.iter()
                .map(|vm| sample::visit(context, tenure, vm))
                .collect()
        };
        let samples: Vec<Sample> = thread::scope(|scope| {
            let calls: Vec<_> = due
                .chunks(share)
                .map(|vms| scope.spawn(move || ask(vms)))
                .collect();
            let answers = calls.into_iter().filter_map(|call| call.join().ok());
            answers.flatten().collect()
        });
        for sample in samples {
            self.note(&sample, Instant::now());
        }
    }

    /// requests on each VM that answered
    pub fn loads(&self, rows: &[Row], now: Instant) -> Vec<Load> {
        let mut loads = Vec::new();
        for row in rows {
            let Some(seen) = self.seen.get(&row.vm.name) else {
                continue;
            };
            let is_fresh = seen.misses == 0 && now < seen.at + FRESH;
            // a drained VM may be removed by this load
            if row.draining && !is_fresh {
                continue;
            }
            loads.push(Load {
                vm: row.vm.name.clone(),
                in_flight: seen.in_flight,
                draining: row.draining,
                unresponsive: seen.misses >= MISSES,
            });
        }
        loads
    }

    /// demand by service; none for a model of which most engines are silent
    pub fn demand(&self, context: &Context, rows: &[Row]) -> BTreeMap<String, Vec<Demand>> {
        let mut services: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
        for row in rows {
            services.entry(&row.vm.service).or_default().push(row);
        }
        let daemons = u32::try_from(context.node.members().len()).unwrap_or(u32::MAX);
        let mut demand = BTreeMap::new();
        for (service, rows) in services {
            let is_model = rows.iter().any(|row| is_model(context, &row.vm));
            let answered = rows
                .iter()
                .filter(|row| self.answered(&row.vm.name))
                .count();
            if is_model && answered * 2 < rows.len() {
                continue;
            }
            let mut regions: BTreeMap<&str, u32> = BTreeMap::new();
            for row in rows {
                let in_flight = match is_model {
                    true => self.seen.get(&row.vm.name).map_or(0, |seen| seen.in_flight),
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

    /// the engines to ask now
    fn due<'a>(&self, rows: &[&'a Row]) -> Vec<&'a Vm> {
        let mut rows = rows.to_vec();
        rows.sort_by_key(|row| {
            let seen = self.seen.get(&row.vm.name);
            let is_urgent = row.draining || seen.is_none_or(|seen| seen.misses > 0);
            (!is_urgent, seen.map(|seen| seen.at))
        });
        rows.into_iter().take(PER_STEP).map(|row| &row.vm).collect()
    }

    fn note(&mut self, sample: &Sample, now: Instant) {
        let before = self.seen.get(&sample.vm);
        let seen = match sample.in_flight {
            Some(in_flight) => Seen {
                in_flight,
                misses: 0,
                at: now,
            },
            None => Seen {
                in_flight: before.map_or(0, |seen| seen.in_flight),
                misses: before.map_or(0, |seen| seen.misses) + 1,
                at: now,
            },
        };
        self.seen.insert(sample.vm.clone(), seen);
    }

    fn answered(&self, vm: &str) -> bool {
        self.seen.get(vm).is_some_and(|seen| seen.misses < MISSES)
    }
}

fn is_model(context: &Context, vm: &Vm) -> bool {
    let snapshot = context.snapshot.load();
    let service = snapshot.service(&vm.service);
    service.is_some_and(|service| service.kind == Kind::Model)
}
