//! Runs a trace under each policy.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use schema::settings::Policy;

use super::call::prepare;
use super::check::{check, outcomes};
use super::driver::drive;
use super::material::Material;
use super::record::{Record, Runs, engines_cost, follow};
use super::report::Report;
use super::{Figures, Options, plan};
use crate::client::Ask;
use crate::poll_until;
use crate::trace::Trace;
use crate::world::World;

/// part of the arrivals after which something fails
const STRIKE_PART: u32 = 3;

/// longest wait until every daemon answers
const SETTLE_PATIENCE: Duration = Duration::from_secs(20);

/// figures of a policy and the VMs that failed
struct Outcome {
    figures: Figures,
    failed_vms: Vec<String>,
}

/// replays a trace and prints the results; true if no stated outcome was missed
pub fn run(options: &Options) -> io::Result<bool> {
    let trace = Trace::read(&options.trace)?;
    let outcomes = outcomes(&options.trace)?;
    let mut runs = Vec::new();
    for policy in &options.against {
        runs.push(replay(&trace, options, *policy)?.figures);
    }
    let Outcome {
        figures,
        failed_vms,
    } = replay(&trace, options, options.policy)?;
    let checks = check(&outcomes, options.faults, &figures, &runs);
    runs.push(figures);
    let report = Report {
        trace: trace.header.name,
        seed: options.seed,
        speed: options.speed,
        faults: options.faults.to_string(),
        failed_vms,
        runs,
        checks,
    };
    report.print(options.output)?;
    Ok(report.met())
}

fn replay(trace: &Trace, options: &Options, policy: Policy) -> io::Result<Outcome> {
    let world = plan::world(&trace.header, policy).start()?;
    let mut calls = prepare(trace, options.seed, world.daemons().len());
    for call in &mut calls {
        call.at = call.at.div_f64(options.speed);
    }
    settle(&world, trace)?;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let failed_vms = options.faults.targets(&world, &mut rng);
    let arrivals = Duration::from_secs(trace.header.seconds.into()).div_f64(options.speed);
    let strike_at = arrivals / STRIKE_PART;
    let load_before = load_average()?;
    let cost_before = engines_cost(&world)?;
    let platform_before = platform_bytes(&world);
    let mut dead = Runs::new();
    let seen = drive(&world, &calls, strike_at, || {
        options.faults.strike(&world, &failed_vms, options.notice);
        if options.faults.takes() {
            dead = follow(&world, &failed_vms);
        }
    });
    let cost = engines_cost(&world)? - cost_before;
    let record = Record::read(&world, dead)?;
    if let Some(path) = &options.record {
        record.append(path, &policy.to_string(), &world, &calls)?;
    }
    let classes = trace.header.classes.iter();
    let material = Material {
        policy: policy.to_string(),
        classes: classes.map(|class| class.name.clone()).collect(),
        calls: &calls,
        seen: &seen,
        record: &record,
        daemon_regions: daemon_regions(&world),
        vm_regions: vm_regions(&world),
        engines_cost: cost,
        platform_bytes: platform_bytes(&world) - platform_before,
        load_average: [load_before, load_average()?],
    };
    let figures = material.figures();
    Ok(Outcome {
        figures,
        failed_vms,
    })
}

/// waits until every daemon answers a call of each model service
fn settle(world: &World, trace: &Trace) -> io::Result<()> {
    let client = world.client_of(&trace.header.workspaces[0]);
    let is_model = |name: &str| {
        let mut calls = trace.calls.iter();
        calls.any(|call| call.output > 0 && trace.class(call).service == name)
    };
    for class in &trace.header.classes {
        if !is_model(&class.service) {
            continue;
        }
        let ask = Ask::new(&class.service, "settle", 1);
        for daemon in 0..world.daemons().len() {
            let answered = poll_until(SETTLE_PATIENCE, || client.complete(daemon, &ask).ok());
            if answered.is_none() {
                let message = format!("daemon {daemon} does not answer\n{}", world.log_tails());
                return Err(io::Error::other(message));
            }
        }
    }
    Ok(())
}

fn daemon_regions(world: &World) -> Vec<String> {
    let daemons = world.daemons().iter();
    daemons
        .map(|daemon| daemon.settings.region.clone())
        .collect()
}

fn vm_regions(world: &World) -> HashMap<String, String> {
    let centres: HashMap<&str, &str> = world
        .daemons()
        .iter()
        .map(|daemon| {
            let settings = &daemon.settings;
            (settings.data_centre.as_str(), settings.region.as_str())
        })
        .collect();
    let engines = world.engines().iter().map(|engine| &engine.machine);
    engines
        .map(|vm| {
            let region = centres.get(vm.data_centre.as_str());
            let region = region.copied().unwrap_or_default();
            (vm.vm.clone(), region.to_owned())
        })
        .collect()
}

/// bytes between the platform and the other regions, which share one line
fn platform_bytes(world: &World) -> u64 {
    let platform_region = &world.daemons()[0].settings.region;
    let mut daemons = world.daemons().iter();
    let far = daemons.find(|daemon| daemon.settings.region != *platform_region);
    let Some(far) = far else {
        return 0;
    };
    let link = world.network().platform_link(&far.settings.data_centre);
    let counts = link.counts();
    counts.forth + counts.back
}

/// load average of the last minute
fn load_average() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().map_err(io::Error::other)
}
