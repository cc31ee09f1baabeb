//! The plan of one workspace and its key.

use macro_rules_attribute::apply;
use rand::Rng;
use schema::{config, data};
use sha2::{Digest, Sha256};

/// bytes of a random key
const KEY_BYTES: usize = 24;

/// a workspace with a key of its own
#[apply(data!)]
pub struct Workspace {
    /// what is declared of it
    pub declared: config::Workspace,
    /// its key, as callers send it
    pub key: String,
}

impl Workspace {
    /// a workspace without limits
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

    /// sets its priority, 0 lowest, 9 highest
    pub fn priority(mut self, priority: u8) -> Self {
        self.declared.priority = priority;
        self
    }

    /// limits its requests at the same time
    pub fn concurrent(mut self, requests: u32) -> Self {
        self.declared.concurrent = requests;
        self
    }

    /// limits its tokens a second
    pub fn tokens_per_second(mut self, tokens: u32) -> Self {
        self.declared.tokens_per_second = tokens;
        self
    }

    /// limits it to one more service
    pub fn service(mut self, service: &str) -> Self {
        self.declared.services.push(service.to_owned());
        self
    }
}

/// a random key, printable
pub fn random_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    hex::encode(bytes)
}
