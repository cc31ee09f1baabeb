//! A running world.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use schema::config::{Declaration, Kind};
use standin::cloud::Reclaim;
use standin::{cloud, objects};
use tempfile::TempDir;

use super::build;
use super::builder::Builder;
use super::daemon::Daemon;
use super::declaration::declaration;
use super::network::Network;
use super::operator::Operator;
use super::upstream::{Engine, Machine, PlainService};
use crate::client::Client;

/// time limit for each daemon to become ready
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// a running world; dropping it ends all processes
///
/// Daemons are dropped first and the platform last. If the thread panics, as in a failed
/// test, the last lines of all logs are printed.
#[derive(Debug)]
pub struct World {
    daemons: Vec<Arc<Daemon>>,
    engines: Vec<Engine>,
    plain_services: Vec<PlainService>,
    network: Network,
    operator: Operator,
    cloud: cloud::Server,
    objects: SocketAddr,
    declaration: Declaration,
    builder: Builder,
    _store: Store,
    _folder: TempDir,
}

/// the object API server, which does not implement `Debug`
struct Store(#[allow(dead_code)] objects::Server);

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

impl World {
    /// starts the configuration of a world
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(super) fn start(builder: Builder) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        build::write_keys(folder.path())?;
        let store = objects::Server::start(&builder.objects)?;
        let cloud = cloud::Server::start_with_engine_options(
            builder.cloud.clone(),
            builder.engine.clone(),
        )?;
        let network = Network::start(&builder, store.address(), cloud.address())?;
        let engines = build::start_engines(&builder, folder.path())?;
        let plain_services = build::start_plain_services(&builder, folder.path())?;
        let daemons = build::prepare_daemons(&builder, &network, folder.path())?;
        for engine in &engines {
            build::register_machine(&cloud, &engine.machine, Kind::Model);
        }
        for plain in &plain_services {
            build::register_machine(&cloud, &plain.machine, Kind::Plain);
        }
        for daemon in &daemons {
            build::register_daemon(&cloud, daemon);
        }
        let vms = engines.len() + plain_services.len() + daemons.len();
        build::wait_listed(&cloud, vms)?;
        let control = daemons
            .first()
            .map_or(store.address(), |daemon| daemon.control);
        let operator = Operator::new(folder.path(), store.address(), control);
        let declaration = declaration(&builder);
        operator.apply(&declaration)?;
        let world = Self {
            daemons: daemons.into_iter().map(Arc::new).collect(),
            engines,
            plain_services,
            network,
            operator,
            cloud,
            objects: store.address(),
            declaration,
            builder,
            _store: Store(store),
            _folder: folder,
        };
        world.start_daemons()?;
        Ok(world)
    }

    fn start_daemons(&self) -> io::Result<()> {
        for daemon in &self.daemons {
            daemon.start()?;
        }
        for daemon in &self.daemons {
            daemon.wait_ready(READY_TIMEOUT)?;
        }
        Ok(())
    }

    /// all daemons, ordered by data centre
    pub fn daemons(&self) -> &[Arc<Daemon>] {
        &self.daemons
    }

    /// engines started with the world, ordered by data centre
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// VMs of plain services, ordered by data centre
    pub fn plain_services(&self) -> &[PlainService] {
        &self.plain_services
    }

    /// network between data centres and the platform
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// stand-in of the cloud API
    pub fn cloud(&self) -> &cloud::Server {
        &self.cloud
    }

    /// address of the object API without a proxy, for its control API
    pub fn objects(&self) -> SocketAddr {
        self.objects
    }

    /// the operators' command-line tool
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// declaration applied at the start
    pub fn declaration(&self) -> &Declaration {
        &self.declaration
    }

    /// a client of the first workspace with the addresses of all daemons
    pub fn client(&self) -> Client {
        self.client_of(&self.builder.workspaces[0].declared.name)
    }

    /// a client of a workspace with the addresses of all daemons
    ///
    /// # Panics
    /// When there is no such workspace.
    pub fn client_of(&self, workspace: &str) -> Client {
        let mut workspaces = self.builder.workspaces.iter();
        let found = workspaces
            .find(|w| w.declared.name == workspace)
            .unwrap_or_else(|| panic!("the world has no workspace {workspace}"));
        let daemons: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.callers).collect();
        Client::new(&found.key, &daemons)
    }

    /// engine on the VM of this name
    pub fn engine(&self, vm: &str) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.machine.vm == vm)
    }

    /// the cloud reclaims a VM: preemption notice now, termination after `seconds`
    ///
    /// An engine receives the notice as well and exits by itself. A daemon is
    /// killed here; the process of a plain service keeps running.
    pub fn reclaim(&self, vm: &str, seconds: u32) {
        self.cloud.reclaim(&Reclaim {
            vm: vm.to_owned(),
            seconds,
            ..Reclaim::default()
        });
        let notice = Duration::from_secs(u64::from(seconds));
        if let Some(daemon) = self.daemons.iter().find(|daemon| daemon.vm() == vm) {
            let daemon = Arc::clone(daemon);
            thread::spawn(move || {
                thread::sleep(notice);
                daemon.kill();
            });
        }
    }

    /// last lines of the logs of all processes
    pub fn log_tails(&self) -> String {
        let mut tails = String::new();
        for daemon in &self.daemons {
            tails.push_str(&daemon.log_tail());
        }
        for machine in self.machines() {
            tails.push_str(&machine.child.log_tail());
        }
        tails
    }

    fn machines(&self) -> impl Iterator<Item = &Machine> {
        let engines = self.engines.iter().map(|engine| &engine.machine);
        engines.chain(self.plain_services.iter().map(|plain| &plain.machine))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.log_tails());
        }
        // The thread of a pending reclaim may keep a daemon from being dropped.
        for daemon in &self.daemons {
            daemon.kill();
        }
    }
}
