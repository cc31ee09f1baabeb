//! Starts the processes of a world and registers their VMs with the cloud API.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use schema::cloud::{Market, State, Vm};
use schema::config::Kind;
use schema::settings;
use standin::ReservedPort;
use standin::cloud::{Registration, Server};

use super::builder::Builder;
use super::daemon::Daemon;
use super::data_centre::{DataCentre, Group};
use super::declaration::VM_CLASS;
use super::network::Network;
use super::upstream::{Engine, Machine, Names, PlainService};
use super::workspace::random_key;
use crate::poll_until;

/// file with the key that daemons share
pub const FLEET_KEY_FILE: &str = "fleet.key";

/// file with the operators' key
pub const OPERATOR_KEY_FILE: &str = "operator.key";

/// time limit for all registered VMs to appear in the cloud's list
const LIST_TIMEOUT: Duration = Duration::from_secs(30);

/// seed peers in the settings of a daemon
const MAX_SEEDS: usize = 3;

/// writes the key files
pub fn write_keys(folder: &Path) -> io::Result<()> {
    fs::write(folder.join(FLEET_KEY_FILE), random_key())?;
    fs::write(folder.join(OPERATOR_KEY_FILE), random_key())
}

pub fn start_engines(builder: &Builder, folder: &Path) -> io::Result<Vec<Engine>> {
    let mut arguments = vec!["engine".to_owned()];
    arguments.extend(builder.engine.arguments());
    let machines = start_machines(builder, Kind::Model, &arguments, folder)?;
    Ok(machines
        .into_iter()
        .map(|machine| Engine { machine })
        .collect())
}

pub fn start_plain_services(builder: &Builder, folder: &Path) -> io::Result<Vec<PlainService>> {
    let mut arguments = vec!["plain".to_owned()];
    arguments.extend(builder.plain.arguments());
    let machines = start_machines(builder, Kind::Plain, &arguments, folder)?;
    Ok(machines
        .into_iter()
        .map(|machine| PlainService { machine })
        .collect())
}

fn start_machines(
    builder: &Builder,
    kind: Kind,
    arguments: &[String],
    folder: &Path,
) -> io::Result<Vec<Machine>> {
    let mut machines = Vec::new();
    for centre in &builder.data_centres {
        for group in centre.groups.iter().filter(|group| group.kind == kind) {
            for number in 0..group.count {
                let names = names(centre, group, number);
                let with_proxy = builder.upstream_proxies;
                machines.push(Machine::start(names, arguments, folder, with_proxy)?);
            }
        }
    }
    Ok(machines)
}

fn names(centre: &DataCentre, group: &Group, number: usize) -> Names {
    Names {
        vm: format!("{}-{number}", group.upstream(&centre.name)),
        data_centre: centre.name.clone(),
        service: group.service.clone(),
    }
}

/// registers an upstream VM with the cloud API
pub fn register_machine(cloud: &Server, machine: &Machine, kind: Kind) {
    let upstream = format!("{}-{}", machine.service, machine.data_centre);
    let vm = vm(
        &machine.vm,
        &upstream,
        &machine.data_centre,
        machine.public_address().to_string(),
    );
    cloud.register(Registration {
        vm,
        forward_notice: kind == Kind::Model,
    });
}

/// registers a daemon's VM with the cloud API
pub fn register_daemon(cloud: &Server, daemon: &Daemon) {
    let settings = &daemon.settings;
    let vm = vm(
        &settings.vm,
        "",
        &settings.data_centre,
        daemon.control.to_string(),
    );
    cloud.register(Registration {
        vm,
        forward_notice: false,
    });
}

/// waits until the cloud's list, which lags, shows at least `count` VMs
pub fn wait_listed(cloud: &Server, count: usize) -> io::Result<()> {
    let is_listed = || (cloud.list().vms.len() >= count).then_some(());
    let listed = poll_until(LIST_TIMEOUT, is_listed);
    listed.ok_or_else(|| {
        io::Error::other(format!(
            "the cloud's list did not show {count} VMs within {LIST_TIMEOUT:?}"
        ))
    })
}

fn vm(name: &str, upstream: &str, centre: &str, address: String) -> Vm {
    Vm {
        name: name.to_owned(),
        upstream: upstream.to_owned(),
        zone: format!("{centre}-1"),
        class: VM_CLASS.to_owned(),
        market: Market::Reclaimable,
        state: State::Live,
        address,
        seconds_left: None,
    }
}

/// reserves ports and writes settings for the daemons without starting them
pub fn prepare_daemons(
    builder: &Builder,
    network: &Network,
    folder: &Path,
) -> io::Result<Vec<Daemon>> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for centre in &builder.data_centres {
        for number in 0..centre.daemons {
            let ports = [ReservedPort::reserve()?, ReservedPort::reserve()?];
            let seeds = daemons
                .iter()
                .take(MAX_SEEDS)
                .map(|daemon| daemon.control.to_string());
            let settings = settings::Daemon {
                vm: format!("entry-{}-{number}", centre.name),
                region: centre.region.clone(),
                data_centre: centre.name.clone(),
                listen: settings::Listen {
                    callers: ports[0].address().to_string(),
                    control: ports[1].address().to_string(),
                },
                keys: keys(folder),
                platform: settings::Platform {
                    objects: format!("http://{}", network.objects(&centre.name)),
                    cloud: format!("http://{}", network.cloud(&centre.name)),
                    token_file: None,
                },
                peers: seeds.collect(),
                limits: builder.limits.clone(),
                timing: builder.timing.clone(),
                log: builder.log.clone(),
                policy: builder.policy,
            };
            daemons.push(Daemon::new(settings, ports, folder)?);
        }
    }
    Ok(daemons)
}

fn keys(folder: &Path) -> settings::Keys {
    let file = |name: &str| folder.join(name).to_string_lossy().into_owned();
    settings::Keys {
        fleet_file: file(FLEET_KEY_FILE),
        operator_file: file(OPERATOR_KEY_FILE),
    }
}
