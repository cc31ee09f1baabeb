//! Keys, requests and held claims by their digests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const KEY_BYTES: usize = 16;
const WORKSPACE_BYTES: usize = 8;

/// digest of a request: method, path and body
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// digest of these parts
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let body = Sha256::digest(body);
        let text = digest(&[method.as_bytes(), path.as_bytes(), &body]);
        Fingerprint(hex::encode(&text[..KEY_BYTES]))
    }

    /// the digest in hexadecimal
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// a claim that is held; whoever has it may run the request, finish or release it
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Held {
    /// name of the object
    pub shard: String,
    /// digest of workspace and key
    pub key: String,
    /// random id of the claim
    pub nonce: String,
}

impl Held {
    /// a new claim, not yet entered
    pub(super) fn new(workspace: &str, key: &str, shards: u32) -> Self {
        let key_digest = digest(&[workspace.as_bytes(), key.as_bytes()]);
        Held {
            shard: shard(workspace, key, shards),
            key: hex::encode(&key_digest[..KEY_BYTES]),
            nonce: hex::encode(rand::random::<[u8; KEY_BYTES]>()),
        }
    }
}

/// name of the object that decides on a key; the same on all daemons if `shards` is
pub fn shard(workspace: &str, key: &str, shards: u32) -> String {
    let key_digest = digest(&[workspace.as_bytes(), key.as_bytes()]);
    let tail = u32::from_be_bytes([
        key_digest[KEY_BYTES],
        key_digest[KEY_BYTES + 1],
        key_digest[KEY_BYTES + 2],
        key_digest[KEY_BYTES + 3],
    ]);
    let owner = digest(&[workspace.as_bytes()]);
    let owner = hex::encode(&owner[..WORKSPACE_BYTES]);
    format!("{owner}-{}", tail % shards.max(1))
}

/// digest of parts with their lengths, so that no two lists of parts agree
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}
