use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use macro_rules_attribute::apply;
use route::placement::Kind;
use schema::data;
use sha2::{Digest, Sha256};

use super::Route;

/// hash of a workspace's key; look-ups by hash do not leak the key by their timing
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
    /// requests
    Requests,
    /// prompt and output tokens; a request that states none counts as so many
    Tokens {
        /// tokens of a request that states none
        unstated: u32,
    },
}

/// a workspace's limit over all daemons
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// what is counted
    pub unit: Unit,
    /// units per second
    pub rate: f64,
    /// units that may be spent at once
    pub burst: f64,
}

/// a workspace
#[apply(data!)]
pub struct Workspace {
    /// its name, which upstreams are told
    pub name: String,
    /// its urgency, 0 first; goes before the route's
    pub priority: Option<u8>,
    /// its limit, if it has one
    pub limit: Option<Limit>,
}

/// figures of the engines of a service
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// requests that run at once
    pub slots: u32,
    /// tokens that the KV cache holds
    pub cache_tokens: u64,
}

/// bounds and prices of the capacity of a service
#[apply(data!)]
pub struct Scaling {
    /// fewest VMs in a zone
    pub min: u32,
    /// most VMs in a zone, reclaimable and on demand together
    pub max: u32,
    /// time from an order to a serving VM
    pub boot: Duration,
    /// price of a reclaimable VM as part of an on-demand one's; none if there are none
    pub reclaimable_price: Option<f64>,
    /// price of an on-demand VM's second by zone
    pub zone_prices: HashMap<String, f64>,
}

/// a service
#[apply(data!)]
pub struct Service {
    /// its name
    pub name: String,
    /// most connections that one of its VMs takes from all daemons
    pub max_connections: u32,
    /// present if its VMs are model engines
    pub engine: Option<Engine>,
    /// present if its VMs are ordered by the system
    pub scaling: Option<Scaling>,
}

/// what a caller may send
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// most bytes of a request's head
    pub header_bytes: usize,
    /// most bytes of a request's body
    pub body_bytes: usize,
    /// longest time to send a head
    pub header_time: Duration,
    /// longest time between two requests of a connection
    pub idle_time: Duration,
}

impl Default for Bounds {
    /// limits until the first configuration has come: those of common HTTP servers
    fn default() -> Bounds {
        Bounds {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// the configuration in force
#[derive(Debug, Default)]
pub struct Config {
    /// its version; versions only rise
    pub version: u64,
    /// routes by host, longest prefix first
    pub routes: HashMap<String, Vec<Rc<Route>>>,
    /// services by name
    pub services: HashMap<String, Service>,
    /// workspaces by the hash of each of their keys
    pub keys: HashMap<KeyHash, Rc<Workspace>>,
    /// kinds of request by service, from its routes
    pub kinds: HashMap<String, Rc<[Kind]>>,
    /// whether requests need a key
    pub keyed: bool,
    /// what callers may send
    pub bounds: Bounds,
}

impl Config {
    /// the route of a request: of the host's routes the one with the longest prefix
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// the kinds of request of a service
    pub fn kinds(&self, service: &str) -> Rc<[Kind]> {
        self.kinds
            .get(service)
            .map_or_else(|| Rc::new([]), Rc::clone)
    }

    /// derives the kinds of request of each service from the routes
    pub fn derive_kinds(&mut self) {
        let mut kinds: HashMap<String, Vec<Kind>> = HashMap::new();
        for route in self.routes.values().flatten() {
            let kind = Kind {
                priority: route.priority,
                objective: route.objective,
            };
            for target in &route.targets {
                let known = kinds.entry(target.service.clone()).or_default();
                if !known.contains(&kind) {
                    known.push(kind);
                }
            }
        }
        self.kinds = kinds
            .into_iter()
            .map(|(name, list)| (name, list.into()))
            .collect();
    }

    /// the workspace that holds a key
    pub fn workspace(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.keys.get(&KeyHash::new(key))
    }
}
