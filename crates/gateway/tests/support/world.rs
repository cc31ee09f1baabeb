use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gateway::model::{Bounds, Config, KeyHash, Kind, Route, Service, Target, Workspace};
use gateway::pool::Pool;
use gateway::{Policy, QuotaTolerance, Settings, Shared, follow, front};
use tokio::runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::caller::{Answer, Caller, request};
use super::dialect::Plain;
use super::objects::Store;

/// a gateway with its store
pub struct World {
    /// the object API
    pub store: Store,
    /// the gateway's state
    pub shared: Rc<Shared<Plain>>,
    /// where it takes callers
    pub address: SocketAddr,
}

/// runs a test on one thread with real time
pub fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// settings with short times
pub fn settings() -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        is_first_start: true,
        name: "daemon-1".to_owned(),
        zone: "here".to_owned(),
        regions: HashMap::new(),
        callers: any,
        ready: any,
        peers: any,
        metrics: any,
        descriptors: 1000,
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
    }
}

/// a route of the service `desk`
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

/// a configuration with a route of each kind, and one key
pub fn config(version: u64) -> Config {
    config_with(version, &["key-1"])
}

/// the same with other keys
pub fn config_with(version: u64, keys: &[&str]) -> Config {
    let stream = Kind::Stream { resumable: true };
    let whole = Kind::Stream { resumable: false };
    let routes = [
        route("/safe/", Kind::Safe, 2),
        route("/once/", Kind::Unsafe, 3),
        route("/stream/", stream, 2),
        route("/whole/", whole, 2),
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
    let hashes = keys
        .iter()
        .map(|key| (KeyHash::new(key), Rc::clone(&workspace)));
    let mut config = Config {
        version,
        routes: HashMap::from([(
            "site.example".to_owned(),
            routes.into_iter().map(Rc::new).collect(),
        )]),
        services: HashMap::from([("desk".to_owned(), service)]),
        keys: hashes.collect(),
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

impl World {
    /// a gateway that has nothing to read yet
    pub async fn empty() -> World {
        World::with(settings(), Store::new())
    }

    /// a gateway with these settings
    pub fn with(settings: Settings, store: Store) -> World {
        let listener = front::bind(settings.callers).expect("a free port");
        let shared = Shared::new(settings, Plain, Pool::new());
        // what the exchange with other daemons finds out where there are none
        shared.set_daemons(1);
        let address = listener.local_addr().expect("a bound address");
        spawn_local(front::serve(Rc::clone(&shared), listener));
        spawn_local(follow::config(Rc::clone(&shared), Rc::new(store.clone())));
        spawn_local(follow::vms(Rc::clone(&shared), Rc::new(store.clone())));
        World {
            store,
            shared,
            address,
        }
    }

    /// a gateway with the usual configuration
    pub async fn start() -> World {
        let world = World::empty().await;
        world.store.configure(|| config(1));
        world.until(|world| world.shared.is_ready()).await;
        world
    }

    /// registers VMs and waits until the gateway knows them
    pub async fn register(&self, vms: &[&super::Upstream]) {
        for upstream in vms {
            self.store.register(&upstream.vm);
        }
        let listed = |world: &World| {
            let known = world.shared.vms.borrow();
            vms.iter()
                .all(|upstream| known.contains_key(&upstream.vm.id))
        };
        self.until(listed).await;
    }

    /// waits until something holds
    pub async fn until(&self, holds: impl Fn(&World) -> bool) {
        for _ in 0..1000 {
            if holds(self) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("it does not hold after 10 s");
    }

    /// a new connection
    pub async fn connect(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// sends a request with the usual key on a new connection
    pub async fn call(&self, method: &str, path: &str, id: &str) -> Answer {
        let headers = format!("x-id: {id}\r\nx-key: key-1\r\nx-patience-ms: 5000\r\n");
        let text = request(method, path, &headers, "body");
        self.connect().await.call(&text).await
    }
}
