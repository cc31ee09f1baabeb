use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gateway::model::{Bounds, Config, KeyHash, Kind, Route, Service, Target, Workspace};
use gateway::pool::Pool;
use gateway::{Policy, QuotaTolerance, Settings, Shared, follow, listeners, rollout};
use tokio::runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::caller::{Caller, Response, request};
use super::dialect::TestDialect;
use super::store::FakeStore;

/// a running gateway with its store
pub struct Harness {
    /// the object API
    pub store: FakeStore,
    /// state of the gateway
    pub shared: Rc<Shared<TestDialect>>,
    /// address for callers
    pub address: SocketAddr,
}

/// runs a test on one thread in real time
pub fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// settings with short time-outs
pub fn settings() -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        is_alone: true,
        is_first_start: true,
        fair_shares: true,
        vm_speeds: true,
        prompt_transfers: true,
        name: "daemon-1".to_owned(),
        zone: "here".to_owned(),
        regions: HashMap::new(),
        callers: any,
        ready: any,
        peers: any,
        metrics: any,
        descriptors: 1000,
        memory: None,
        reports_usage: false,
        orders_capacity: false,
        policy: Policy {
            drain: Duration::from_millis(2500),
            grace: Duration::from_secs(8),
            apply_time: Duration::from_millis(2500),
            max_key_age: Some(Duration::from_millis(3000)),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_burst: 100.0,
            quota: QuotaTolerance {
                window: Duration::from_secs(8),
                fraction: 0.1,
                tokens: 0.0,
            },
            lease: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            usage_deadline: Duration::from_secs(10),
            relist_time: Duration::from_millis(2000),
        },
        rollout: None,
    }
}

/// a route to the service `desk`
pub fn route(prefix: &str, kind: Kind, attempts: u32) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(3000),
        objective: Duration::from_millis(1000),
        attempts,
        priority: 0,
        open: false,
        targets: vec![Target {
            service: "desk".to_owned(),
            weight: 1,
        }],
    }
}

/// a configuration with one route of each kind and one key
pub fn config(version: u64) -> Config {
    config_with(version, &["key-1"])
}

/// the same configuration with other keys
pub fn config_with(version: u64, keys: &[&str]) -> Config {
    let stream = Kind::Stream { resumable: true };
    let non_resumable = Kind::Stream { resumable: false };
    let routes = [
        route("/safe/", Kind::Safe, 2),
        route("/once/", Kind::Unsafe, 3),
        route("/stream/", stream, 2),
        route("/non-resumable/", non_resumable, 2),
    ];
    let workspace = Rc::new(Workspace {
        name: "workspace-1".to_owned(),
        priority: None,
        limit: None,
    });
    let service = Service {
        name: "desk".to_owned(),
        max_connections: 100,
        engine: None,
        scaling: None,
    };
    let keys_by_hash = keys
        .iter()
        .map(|key| (KeyHash::new(key), Rc::clone(&workspace)));
    let mut config = Config {
        version,
        routes: HashMap::from([(
            "site.example".to_owned(),
            routes.into_iter().map(Rc::new).collect(),
        )]),
        services: HashMap::from([("desk".to_owned(), service)]),
        keys: keys_by_hash.collect(),
        kinds: HashMap::new(),
        requires_key: true,
        bounds: Bounds {
            header_bytes: 8192,
            body_bytes: 1000,
            header_time: Duration::from_millis(400),
            idle_time: Duration::from_millis(1500),
        },
    };
    config.derive_kinds();
    config
}

impl Harness {
    /// starts a gateway with an empty store
    pub async fn empty() -> Harness {
        Harness::with(settings(), FakeStore::new())
    }

    /// starts a gateway with these settings
    pub fn with(settings: Settings, store: FakeStore) -> Harness {
        let listener = listeners::bind(settings.callers).expect("a free port");
        let shared = Shared::new(settings, TestDialect, Pool::new());
        // there is no exchange with peers here that would set the number of daemons
        shared.set_daemons(1);
        let address = listener.local_addr().expect("a bound address");
        spawn_local(listeners::callers(Rc::clone(&shared), listener));
        spawn_local(follow::config(Rc::clone(&shared), Rc::new(store.clone())));
        spawn_local(follow::vms(Rc::clone(&shared), Rc::new(store.clone())));
        spawn_local(follow::rollouts(Rc::clone(&shared), Rc::new(store.clone())));
        spawn_local(rollout::evaluate(Rc::clone(&shared)));
        Harness {
            store,
            shared,
            address,
        }
    }

    /// starts a gateway with the default configuration and waits until it is ready
    pub async fn start() -> Harness {
        let harness = Harness::empty().await;
        harness.store.configure(|| config(1));
        harness
            .wait_until(|harness| harness.shared.is_ready())
            .await;
        harness
    }

    /// registers VMs and waits until the gateway has received them
    pub async fn register(&self, vms: &[&super::FakeVm]) {
        for vm in vms {
            self.store.register(&vm.vm);
        }
        let listed = |harness: &Harness| {
            let known = harness.shared.vms.borrow();
            vms.iter().all(|vm| known.contains_key(&vm.vm.id))
        };
        self.wait_until(listed).await;
    }

    /// waits up to 10 s until a condition holds
    pub async fn wait_until(&self, condition: impl Fn(&Harness) -> bool) {
        for _ in 0..1000 {
            if condition(self) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("condition does not hold after 10 s");
    }

    /// opens a connection
    pub async fn connect(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// sends a request with the default key on a new connection
    pub async fn call(&self, method: &str, path: &str, id: &str) -> Response {
        let headers = format!("x-id: {id}\r\nx-key: key-1\r\nx-time-limit-ms: 5000\r\n");
        let text = request(method, path, &headers, "body");
        self.connect().await.call(&text).await
    }
}
