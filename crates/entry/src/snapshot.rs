//! The configuration in force, with look-ups for requests.

use schema::config::{Declaration, Preset, Service, Workspace};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// one revision of the declaration, prepared for look-ups
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// number of the revision; 0 before the first one
    pub revision: u64,
    /// the declared configuration
    pub declaration: Declaration,
    keys: Vec<Key>,
}

#[derive(Debug, Clone)]
struct Key {
    hash: Vec<u8>,
    workspace: usize,
}

impl Snapshot {
    /// prepares a revision; ignores keys that are not hexadecimal hashes
    pub fn new(revision: u64, declaration: Declaration) -> Snapshot {
        let mut keys = Vec::new();
        for (workspace, declared) in declaration.workspaces.iter().enumerate() {
            for key in &declared.keys {
                if let Ok(hash) = hex::decode(key) {
                    keys.push(Key { hash, workspace });
                }
            }
        }
        Snapshot {
            revision,
            declaration,
            keys,
        }
    }

    /// revision 0, which declares nothing
    pub fn empty() -> Snapshot {
        let declaration = Declaration {
            services: Vec::new(),
            upstreams: Vec::new(),
            workspaces: Vec::new(),
            presets: Vec::new(),
            preset: String::new(),
        };
        Snapshot::new(0, declaration)
    }

    /// the workspace of a bearer key; compares every declared key in constant time
    pub fn workspace(&self, bearer: &str) -> Option<&Workspace> {
        let hash = Sha256::digest(bearer.as_bytes());
        let mut found = None;
        for key in &self.keys {
            if bool::from(key.hash.as_slice().ct_eq(hash.as_slice())) {
                found = Some(key.workspace);
            }
        }
        self.declaration.workspaces.get(found?)
    }

    /// the service of this name
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.declaration
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// the preset in force
    pub fn preset(&self) -> Option<&Preset> {
        let name = &self.declaration.preset;
        self.declaration
            .presets
            .iter()
            .find(|preset| &preset.name == name)
    }
}
