//! Starts the parts of a world.

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
use super::centre::{Centre, Group};
use super::daemon::Daemon;
use super::declaration::CLASS;
use super::network::Network;
use super::upstream::{Engine, Machine, Names, Plain};
use super::workspace::random_key;
use crate::poll_until;

/// file with the key between daemons
pub const FLEET_KEY: &str = "fleet.key";

/// file with the operators' key
pub const OPERATOR_KEY: &str = "operator.key";

/// longest wait for the cloud's list
const LIST_TIMEOUT: Duration = Duration::from_secs(30);

/// daemons that a daemon joins by
const SEEDS: usize = 3;

/// writes the key files
pub fn write_keys(folder: &Path) -> io::Result<()> {
    fs::write(folder.join(FLEET_KEY), random_key())?;
    fs::write(folder.join(OPERATOR_KEY), random_key())
}

/// starts the engines
pub fn engines(plan: &Builder, folder: &Path) -> io::Result<Vec<Engine>> {
    let mut arguments = vec!["engine".to_owned()];
    arguments.extend(plan.engine.arguments());
    let machines = machines(plan, Kind::Model, &arguments, folder)?;
    Ok(machines
        .into_iter()
        .map(|machine| Engine { machine })
        .collect())
}

/// starts the plain services
pub fn plains(plan: &Builder, folder: &Path) -> io::Result<Vec<Plain>> {
    let mut arguments = vec!["plain".to_owned()];
    arguments.extend(plan.plain.arguments());
    let machines = machines(plan, Kind::Plain, &arguments, folder)?;
    Ok(machines
        .into_iter()
        .map(|machine| Plain { machine })
        .collect())
}

fn machines(
    plan: &Builder,
    kind: Kind,
    arguments: &[String],
    folder: &Path,
) -> io::Result<Vec<Machine>> {
    let mut machines = Vec::new();
    for centre in &plan.centres {
        for group in centre.groups.iter().filter(|group| group.kind == kind) {
            for number in 0..group.count {
                let names = names(centre, group, number);
                let with_proxy = plan.upstream_proxies;
                machines.push(Machine::start(names, arguments, folder, with_proxy)?);
            }
        }
    }
    Ok(machines)
}

fn names(centre: &Centre, group: &Group, number: usize) -> Names {
    Names {
        vm: format!("{}-{number}", group.upstream(&centre.name)),
        data_centre: centre.name.clone(),
        service: group.service.clone(),
    }
}

/// puts an upstream VM on the cloud's list
pub fn list_machine(cloud: &Server, machine: &Machine, kind: Kind) {
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

/// puts a daemon's VM on the cloud's list
pub fn list_daemon(cloud: &Server, daemon: &Daemon) {
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

/// waits until the lagging list shows that many VMs
pub fn wait_listed(cloud: &Server, count: usize) -> io::Result<()> {
    let is_listed = || (cloud.list().vms.len() >= count).then_some(());
    let listed = poll_until(LIST_TIMEOUT, is_listed);
    listed.ok_or_else(|| io::Error::other("the cloud's list does not show the VMs"))
}

fn vm(name: &str, upstream: &str, centre: &str, address: String) -> Vm {
    Vm {
        name: name.to_owned(),
        upstream: upstream.to_owned(),
        zone: format!("{centre}-1"),
        class: CLASS.to_owned(),
        market: Market::Reclaimable,
        state: State::Live,
        address,
        seconds_left: None,
    }
}

/// writes the daemons' settings; none of them runs yet
pub fn daemons(plan: &Builder, network: &Network, folder: &Path) -> io::Result<Vec<Daemon>> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for centre in &plan.centres {
        for number in 0..centre.daemons {
            let ports = [ReservedPort::reserve()?, ReservedPort::reserve()?];
            let seeds = daemons
                .iter()
                .take(SEEDS)
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
                limits: plan.limits.clone(),
                timing: plan.timing.clone(),
                log: plan.log.clone(),
                policy: plan.policy,
            };
            daemons.push(Daemon::new(settings, ports, folder)?);
        }
    }
    Ok(daemons)
}

fn keys(folder: &Path) -> settings::Keys {
    let file = |name: &str| folder.join(name).to_string_lossy().into_owned();
    settings::Keys {
        fleet_file: file(FLEET_KEY),
        operator_file: file(OPERATOR_KEY),
    }
}
