//! Configuration of one workspace, with its key.

use macro_rules_attribute::apply;
use rand::Rng;
use schema::{config, data};
use sha2::{Digest, Sha256};

/// bytes of a random key
const KEY_BYTES: usize = 24;

/// a workspace with a random API key
#[apply(data!)]
pub struct Workspace {
    /// the workspace as it is declared
    pub declared: config::Workspace,
    /// API key that callers send; only its hash is declared
    pub key: String,
}

impl Workspace {
    /// a workspace of priority 5 without limits
    pub fn new(name: &str) -> Self {
        let key = random_key();
        let declared = config::Workspace {
            name: name.to_owned(),
            keys: vec![hex::encode(Sha256::digest(&key))],
            tokens_per_second: 0,
            concurrent: 0,
            priority: 5,
            services: Vec::new(),
        };
        Self { declared, key }
    }

    /// sets the priority from 0 (lowest) to 9 (highest)
    pub fn priority(mut self, priority: u8) -> Self {
        self.declared.priority = priority;
        self
    }

    /// limits the concurrent requests
    pub fn concurrent(mut self, requests: u32) -> Self {
        self.declared.concurrent = requests;
        self
    }

    /// limits the tokens per second
    pub fn tokens_per_second(mut self, tokens: u32) -> Self {
        self.declared.tokens_per_second = tokens;
        self
    }

    /// allows a service; without any call, all services are allowed
    pub fn service(mut self, service: &str) -> Self {
        self.declared.services.push(service.to_owned());
        self
    }
}

/// a random key in hexadecimal
pub fn random_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    hex::encode(bytes)
}
