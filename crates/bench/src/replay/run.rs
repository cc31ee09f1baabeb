//! Replays a trace under each policy.

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
use super::measurements::Measurements;
use super::record::{Record, Runs, engines_cost, last_runs};
use super::report::Report;
use super::{Figures, Options, plan};
use crate::client::Request;
use crate::poll_until;
use crate::trace::Trace;
use crate::world::World;

/// the fault is injected when the trace's duration divided by this has passed
const FAULT_TIME_DIVISOR: u32 = 3;

/// limit for waiting until every daemon serves each model service
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// figures of a policy and the names of the VMs that failed
struct Outcome {
    figures: Figures,
    failed_vms: Vec<String>,
}

/// replays a trace and prints the results; true if no expected outcome was missed
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
    wait_ready(&world, trace)?;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let failed_vms = options.faults.targets(&world, &mut rng);
    let duration = Duration::from_secs(trace.header.seconds.into()).div_f64(options.speed);
    let fault_at = duration / FAULT_TIME_DIVISOR;
    let load_before = load_average()?;
    let cost_before = engines_cost(&world)?;
    let platform_before = platform_bytes(&world);
    let mut terminated = Runs::new();
    let observations = drive(&world, &calls, fault_at, || {
        options.faults.inject(&world, &failed_vms, options.notice);
        if options.faults.terminates_vms() {
            terminated = last_runs(&world, &failed_vms);
        }
    });
    let cost = engines_cost(&world)? - cost_before;
    let record = Record::read(&world, terminated)?;
    if let Some(path) = &options.record {
        record.append(path, &policy.to_string(), &world, &calls)?;
    }
    let classes = trace.header.classes.iter();
    let measurements = Measurements {
        policy: policy.to_string(),
        classes: classes.map(|class| class.name.clone()).collect(),
        calls: &calls,
        observations: &observations,
        record: &record,
        daemon_regions: daemon_regions(&world),
        vm_regions: vm_regions(&world),
        engines_cost: cost,
        platform_bytes: platform_bytes(&world) - platform_before,
        load_average: [load_before, load_average()?],
    };
    let figures = measurements.figures();
    Ok(Outcome {
        figures,
        failed_vms,
    })
}

/// waits until every daemon completes a request to each model service
fn wait_ready(world: &World, trace: &Trace) -> io::Result<()> {
    let client = world.client_of(&trace.header.workspaces[0]);
    let is_model = |name: &str| {
        let mut calls = trace.calls.iter();
        calls.any(|call| call.output > 0 && trace.class(call).service == name)
    };
    for class in &trace.header.classes {
        if !is_model(&class.service) {
            continue;
        }
        let request = Request::new(&class.service, "settle", 1);
        for daemon in 0..world.daemons().len() {
            let completed = poll_until(READY_TIMEOUT, || client.complete(daemon, &request).ok());
            if completed.is_none() {
                let message = format!(
                    "daemon {daemon} did not complete a request to {} within {READY_TIMEOUT:?}\n{}",
                    class.service,
                    world.log_tails()
                );
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
    let regions: HashMap<&str, &str> = world
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
            let region = regions.get(vm.data_centre.as_str());
            let region = region.copied().unwrap_or_default();
            (vm.vm.clone(), region.to_owned())
        })
        .collect()
}

/// bytes sent between the platform and the other regions, which share one link
fn platform_bytes(world: &World) -> u64 {
    let platform_region = &world.daemons()[0].settings.region;
    let mut daemons = world.daemons().iter();
    let remote = daemons.find(|daemon| daemon.settings.region != *platform_region);
    let Some(remote) = remote else {
        return 0;
    };
    let link = world.network().platform_link(&remote.settings.data_centre);
    let counts = link.counts();
    counts.forth + counts.back
}

/// one-minute load average of the machine
fn load_average() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().map_err(io::Error::other)
}
