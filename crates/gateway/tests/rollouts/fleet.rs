use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use gateway::checkpoint::write_checkpoints;
use gateway::duty::{Lease, order_capacity};
use gateway::peers::{Peers, exchange_reports};
use gateway::{Settings, rollout};
use route::rollout::Bounds;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

use super::support::{
    Caller, FakeCloud, FakeStore, FakeVm, Harness, Script, Step, config, request, settings,
};

/// requests a second of all callers together, so that the load does not depend on the number of daemons
const REQUESTS_PER_SECOND: f64 = 160.0;

/// time that a VM takes for a request
pub const RESPONSE_TIME: Duration = Duration::from_millis(10);

/// zones of the VMs, of one region: each has a canary VM, and one bad VM does not make a bad version
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// VMs of each version
const VMS: usize = 2 * ZONES.len();

/// a daemon that takes part in roll-outs
pub struct Daemon {
    pub harness: Harness,
    pub lease: Rc<Lease>,
    peers: Rc<Peers>,
    duties: Vec<JoinHandle<()>>,
}

/// what the callers have received
#[derive(Default)]
pub struct Counts {
    pub answered: Cell<u64>,
    pub failed: Cell<u64>,
    pub refused: Cell<u64>,
    pub lost: Cell<u64>,
}

/// daemons with callers and VMs of two versions
pub struct Fleet {
    pub store: FakeStore,
    pub daemons: Vec<Daemon>,
    pub old: Vec<FakeVm>,
    pub new: Vec<FakeVm>,
    pub counts: Rc<Counts>,
    pub callers: RefCell<Vec<JoinHandle<()>>>,
}

/// bounds of the tests
pub fn bounds() -> Bounds {
    Bounds::new(0.1, 50.0, Duration::from_secs(5))
}

/// a response after the usual time
pub fn response(status: u16) -> Script {
    delayed(RESPONSE_TIME, status)
}

/// a response after some time
pub fn delayed(time: Duration, status: u16) -> Script {
    let mut steps = vec![Step::Wait(time)];
    steps.extend(Script::response(status, "body").0);
    Script(steps)
}

/// starts VMs of a version and registers them
pub async fn start_vms(store: &FakeStore, version: &str, started_at_ms: u64) -> Vec<FakeVm> {
    let mut vms = Vec::new();
    for number in 0..VMS {
        let id = format!("{version}-{number}");
        let vm = FakeVm::start(&id, "desk", response(200)).await;
        let mut vm = vm.with_version(version);
        vm.vm.started_at_ms = started_at_ms;
        vm.vm.zone = ZONES[number % ZONES.len()].to_owned();
        store.register(&vm.vm);
        vms.push(vm);
    }
    vms
}

/// an address for peers that no other daemon of this test uses
fn free_address(number: usize) -> SocketAddr {
    let host = u8::try_from(number + 1).expect("a small number");
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 79, 1, host], 0))).expect("a free port");
    listener.local_addr().expect("a bound address")
}

impl Daemon {
    /// starts a daemon without peers
    pub fn alone(number: usize, zone: &str, store: &FakeStore, is_first_start: bool) -> Daemon {
        let mut settings = Settings {
            is_alone: false,
            is_first_start,
            name: format!("daemon-{number}"),
            zone: zone.to_owned(),
            peers: free_address(number),
            regions: ZONES
                .iter()
                .map(|zone| ((*zone).to_owned(), "region".to_owned()))
                .collect(),
            rollout: Some(bounds()),
            ..settings()
        };
        settings.policy.lease = Duration::from_millis(1200);
        let harness = Harness::with(settings, store.clone());
        let shared = Rc::clone(&harness.shared);
        let peers = Peers::new(&shared.settings.name, zone);
        let lease = Lease::new(&*shared, &peers);
        Daemon {
            harness,
            lease,
            peers,
            duties: Vec::new(),
        }
    }

    /// starts a daemon that meets the others
    pub fn start(number: usize, zone: &str, store: &FakeStore, is_first_start: bool) -> Daemon {
        let mut daemon = Daemon::alone(number, zone, store, is_first_start);
        daemon.join();
        daemon
    }

    /// meets the other daemons, and takes part in the duties
    pub fn join(&mut self) {
        let shared = &self.harness.shared;
        let store = Rc::new(self.harness.store.clone());
        spawn_local(exchange_reports(
            Rc::clone(shared),
            Rc::clone(&store),
            Rc::clone(&self.peers),
        ));
        let lease = Rc::clone(&self.lease).run(Rc::clone(&store));
        let writing =
            rollout::write_statuses(Rc::clone(shared), Rc::clone(&store), Rc::clone(&self.lease));
        let duty = (Rc::clone(&self.lease), Rc::clone(&self.peers));
        let checkpoints = write_checkpoints(Rc::clone(shared), store, duty);
        self.duties = vec![
            spawn_local(lease),
            spawn_local(writing),
            spawn_local(checkpoints),
        ];
    }

    /// orders VMs while this daemon holds the lease
    pub fn order_capacity(&self, cloud: &FakeCloud) {
        let duty = (Rc::clone(&self.lease), Rc::clone(&self.peers));
        let shared = Rc::clone(&self.harness.shared);
        spawn_local(order_capacity(shared, Rc::new(cloud.clone()), duty));
    }

    /// ends this daemon's part in the duties without a release of the lease
    pub fn end_duties(&self) {
        for task in &self.duties {
            task.abort();
        }
    }

    pub fn is_leader(&self) -> bool {
        self.lease.permit().is_some() && !self.duties.iter().any(JoinHandle::is_finished)
    }
}

impl Fleet {
    /// starts daemons in as many zones and VMs of the version `v1`, and waits until they are ready
    pub async fn start(daemons: usize) -> Fleet {
        Fleet::with(&ZONES[..daemons]).await
    }

    /// starts a daemon in each of these zones
    pub async fn with(zones: &[&str]) -> Fleet {
        let store = FakeStore::new();
        store.configure(|| config(1));
        let old = start_vms(&store, "v1", 1000).await;
        let start = |(number, zone): (usize, &&str)| Daemon::start(number, zone, &store, true);
        let daemons: Vec<Daemon> = zones.iter().enumerate().map(start).collect();
        let fleet = Fleet {
            daemons,
            old,
            new: Vec::new(),
            counts: Rc::default(),
            callers: RefCell::default(),
            store,
        };
        fleet.wait_until_ready(&fleet.old).await;
        let has_leader = || fleet.daemons.iter().any(Daemon::is_leader);
        wait_until("a leader", Duration::from_secs(10), has_leader).await;
        fleet
    }

    /// waits until all daemons know some VMs
    pub async fn wait_until_ready(&self, vms: &[FakeVm]) {
        for daemon in &self.daemons {
            let is_ready = || {
                let shared = &daemon.harness.shared;
                let known = shared.vms.borrow();
                shared.is_ready() && vms.iter().all(|vm| known.contains_key(&vm.vm.id))
            };
            wait_until("a ready daemon", Duration::from_secs(10), is_ready).await;
        }
    }

    /// starts a caller at each daemon
    pub fn call(&self) {
        let addresses = self.daemons.iter().map(|daemon| daemon.harness.address);
        for address in addresses {
            self.call_at(address);
        }
    }

    /// starts a caller at a daemon
    pub fn call_at(&self, address: SocketAddr) {
        let counts = Rc::clone(&self.counts);
        let pause = Duration::from_secs_f64(self.daemons.len() as f64 / REQUESTS_PER_SECOND);
        let calling = async move {
            // bounded, should the test not end it
            for number in 0..4000 {
                spawn_local(call_once(address, number, Rc::clone(&counts)));
                sleep(pause).await;
            }
        };
        self.callers.borrow_mut().push(spawn_local(calling));
    }

    /// ends the callers
    pub fn end_calls(&self) {
        for caller in self.callers.borrow_mut().drain(..) {
            caller.abort();
        }
    }

    /// requests a roll-out to the version `v2` and starts its VMs
    pub async fn request(&mut self, duration: Duration) -> Instant {
        self.store.request_rollout("v2", duration);
        let requested_at = Instant::now();
        self.new = start_vms(&self.store, "v2", 2000).await;
        requested_at
    }

    /// requests that VMs have received since a time
    pub fn received(vms: &[FakeVm], since: Instant) -> usize {
        let arrivals = vms.iter().flat_map(FakeVm::arrivals);
        arrivals.filter(|at| *at >= since).count()
    }

    /// waits until the roll-out has a state
    pub async fn wait_for_state(&self, state: &str, limit: Duration) {
        let has_state = || self.store.rollout_state().as_deref() == Some(state);
        wait_until(&format!("state {state}"), limit, has_state).await;
    }
}

async fn call_once(address: SocketAddr, number: u64, counts: Rc<Counts>) {
    let headers = format!(
        "x-id: id-{}-{number}\r\nx-key: key-1\r\nx-time-limit-ms: 3000\r\n",
        address.port()
    );
    let text = request("POST", "/once/", &headers, "body");
    let Some(mut caller) = Caller::try_connect(address).await else {
        counts.lost.set(counts.lost.get() + 1);
        return;
    };
    let response = caller.call(&text).await;
    let count = match response.status {
        200 => &counts.answered,
        500 => &counts.failed,
        503 => &counts.refused,
        _ => &counts.lost,
    };
    count.set(count.get() + 1);
}

/// waits until a condition holds
pub async fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < end, "{what}: not reached after {limit:?}");
        sleep(Duration::from_millis(10)).await;
    }
}
