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
use super::declaration::declare;
use super::network::Network;
use super::operator::Operator;
use super::upstream::{Engine, Machine, Plain};
use crate::client::Client;

/// longest wait for all daemons to be ready
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// a running world; everything ends on drop
///
/// Drops daemons first, the platform last. When a test fails, the ends of all
/// logs are printed.
#[derive(Debug)]
pub struct World {
    daemons: Vec<Arc<Daemon>>,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
    network: Network,
    operator: Operator,
    cloud: cloud::Server,
    objects: SocketAddr,
    declaration: Declaration,
    plan: Builder,
    _store: Store,
    _folder: TempDir,
}

/// the object API, which has no debug form of its own
struct Store(#[allow(dead_code)] objects::Server);

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

impl World {
    /// describes a world
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(super) fn start(plan: Builder) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        build::write_keys(folder.path())?;
        let store = objects::Server::start(&plan.objects)?;
        let cloud =
            cloud::Server::start_with_engine_options(plan.cloud.clone(), plan.engine.clone())?;
        let network = Network::start(&plan, store.address(), cloud.address())?;
        let engines = build::engines(&plan, folder.path())?;
        let plains = build::plains(&plan, folder.path())?;
        let daemons = build::daemons(&plan, &network, folder.path())?;
        for engine in &engines {
            build::list_machine(&cloud, &engine.machine, Kind::Model);
        }
        for plain in &plains {
            build::list_machine(&cloud, &plain.machine, Kind::Plain);
        }
        for daemon in &daemons {
            build::list_daemon(&cloud, daemon);
        }
        let listed = engines.len() + plains.len() + daemons.len();
        build::wait_listed(&cloud, listed)?;
        let control = daemons
            .first()
            .map_or(store.address(), |daemon| daemon.control);
        let operator = Operator::new(folder.path(), store.address(), control);
        let declaration = declare(&plan);
        operator.apply(&declaration)?;
        let world = Self {
            daemons: daemons.into_iter().map(Arc::new).collect(),
            engines,
            plains,
            network,
            operator,
            cloud,
            objects: store.address(),
            declaration,
            plan,
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

    /// all daemons, data centre by data centre
    pub fn daemons(&self) -> &[Arc<Daemon>] {
        &self.daemons
    }

    /// all engines, data centre by data centre
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// all plain services, data centre by data centre
    pub fn plains(&self) -> &[Plain] {
        &self.plains
    }

    /// the lines to the platform
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// the cloud API
    pub fn cloud(&self) -> &cloud::Server {
        &self.cloud
    }

    /// address of the object API itself, for its controls
    pub fn objects(&self) -> SocketAddr {
        self.objects
    }

    /// the operators' tool
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// what was declared at the start
    pub fn declaration(&self) -> &Declaration {
        &self.declaration
    }

    /// a caller of the first workspace who knows all daemons
    pub fn client(&self) -> Client {
        self.client_of(&self.plan.workspaces[0].declared.name)
    }

    /// a caller of a workspace who knows all daemons
    ///
    /// # Panics
    /// When there is no such workspace.
    pub fn client_of(&self, workspace: &str) -> Client {
        let mut workspaces = self.plan.workspaces.iter();
        let found = workspaces
            .find(|w| w.declared.name == workspace)
            .expect("a workspace");
        let daemons: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.callers).collect();
        Client::new(&found.key, &daemons)
    }

    /// the engine on a VM
    pub fn engine(&self, vm: &str) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.machine.vm == vm)
    }

    /// the cloud takes a VM back: notice now, death after `seconds`
    ///
    /// An engine hears of it as well; a plain service or daemon is killed.
    pub fn reclaim(&self, vm: &str, seconds: u32) {
        self.cloud.reclaim(&Reclaim {
            vm: vm.to_owned(),
            seconds,
            ..Reclaim::default()
        });
        let time = Duration::from_secs(u64::from(seconds));
        if let Some(daemon) = self.daemons.iter().find(|daemon| daemon.vm() == vm) {
            let daemon = Arc::clone(daemon);
            thread::spawn(move || {
                thread::sleep(time);
                daemon.kill();
            });
        }
    }

    /// ends of the logs of all processes
    pub fn tails(&self) -> String {
        let mut tails = String::new();
        for daemon in &self.daemons {
            tails.push_str(&daemon.tail());
        }
        for machine in self.machines() {
            tails.push_str(&machine.child.tail());
        }
        tails
    }

    fn machines(&self) -> impl Iterator<Item = &Machine> {
        let engines = self.engines.iter().map(|engine| &engine.machine);
        engines.chain(self.plains.iter().map(|plain| &plain.machine))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.tails());
        }
        // A pending reclaim may still hold a daemon.
        for daemon in &self.daemons {
            daemon.kill();
        }
    }
}
