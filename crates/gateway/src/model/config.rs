use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use macro_rules_attribute::apply;
use route::placement::{Kind, Transfer};
use schema::data;
use sha2::{Digest, Sha256};

use super::Route;

/// hash of a workspace's key; unlike a look-up by key, one by hash leaks nothing through timing
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// hashes a key
    pub fn new(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

/// what a limit counts
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// number of requests
    Requests,
    /// prompt and output tokens
    Tokens {
        /// tokens charged for a request that doesn't state its tokens
        unstated: u32,
    },
}

/// a workspace's limit over all daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// counted unit
    pub unit: Unit,
    /// units per second
    pub rate: f64,
    /// units that may be spent in a burst
    pub burst: f64,
}

/// a workspace
#[apply(data!)]
pub struct Workspace {
    /// its name, which is sent to upstream VMs
    pub name: String,
    /// priority of its requests, 0 is the most urgent; overrides the route's
    pub priority: Option<u8>,
    /// limit over all daemons, if it has one
    pub limit: Option<Limit>,
}

/// capacity of each engine of a service
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// requests that run concurrently
    pub slots: u32,
    /// size of the KV cache in tokens
    pub cache_tokens: u64,
    /// how KV caches are transferred between the engines, if they can be
    pub transfer: Option<Transfer>,
}

/// limits and prices for scaling a service
#[apply(data!)]
pub struct Scaling {
    /// fewest VMs in a zone
    pub min: u32,
    /// most VMs in a zone, reclaimable and on demand together
    pub max: u32,
    /// time from an order until the VM serves
    pub boot: Duration,
    /// price of a reclaimable VM relative to an on-demand one; none if none are offered
    pub reclaimable_price: Option<f64>,
    /// price of one second of an on-demand VM by zone
    pub zone_prices: HashMap<String, f64>,
}

/// a service
#[apply(data!)]
pub struct Service {
    /// its name
    pub name: String,
    /// connections that each of its VMs accepts from all daemons together
    pub max_connections: u32,
    /// capacity of an engine, if its VMs are model engines
    pub engine: Option<Engine>,
    /// scaling parameters, if the daemons order its VMs
    pub scaling: Option<Scaling>,
}

/// limits on callers' connections and requests
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// longest request head in bytes
    pub header_bytes: usize,
    /// longest request body in bytes
    pub body_bytes: usize,
    /// time limit for receiving a request head
    pub header_time: Duration,
    /// idle time-out between two requests on a connection
    pub idle_time: Duration,
}

impl Default for Bounds {
    /// limits before the first configuration, as usual for HTTP servers
    fn default() -> Bounds {
        Bounds {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// a configuration
#[derive(Debug, Default)]
pub struct Config {
    /// its version, which increases with each change
    pub version: u64,
    /// routes by host, longest prefix first
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// services by name
    pub services: HashMap<String, Service>,
    /// workspaces by the hash of each of their keys
    pub keys: HashMap<KeyHash, Rc<Workspace>>,
    /// request kinds of each service, derived from the routes to it
    pub kinds: HashMap<String, Rc<[Kind]>>,
    /// whether requests need a key, except on open routes
    pub requires_key: bool,
    /// limits on callers' connections and requests
    pub bounds: Bounds,
}

impl Config {
    /// the host's route with the longest prefix of a path
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// the request kinds of a service
    pub fn kinds(&self, service: &str) -> Rc<[Kind]> {
        self.kinds
            .get(service)
            .map_or_else(|| Rc::new([]), Rc::clone)
    }

    /// fills `kinds` from the routes
    pub fn derive_kinds(&mut self) {
        let mut kinds: HashMap<String, Vec<Kind>> = HashMap::new();
        for route in self.routes.values().flatten() {
            let kind = Kind {
                priority: route.priority,
                objective: route.objective,
            };
            for target in &route.targets {
                let service_kinds = kinds.entry(target.service.clone()).or_default();
                if !service_kinds.contains(&kind) {
                    service_kinds.push(kind);
                }
            }
        }
        self.kinds = kinds
            .into_iter()
            .map(|(name, list)| (name, list.into()))
            .collect();
    }

    /// the workspace that a key belongs to
    pub fn workspace(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.keys.get(&KeyHash::new(key))
    }
}
