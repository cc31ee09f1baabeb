//! Digests of keys and requests, and names of shards.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// length of key digests, fingerprints and nonces
const KEY_BYTES: usize = 16;
/// length of the workspace digest in a shard's name
const WORKSPACE_BYTES: usize = 8;

/// digest of a request: method, path and body
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// the digest of a request's parts
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let body = Sha256::digest(body);
        let digest = digest(&[method.as_bytes(), path.as_bytes(), &body]);
        Fingerprint(hex::encode(&digest[..KEY_BYTES]))
    }

    /// the digest in hexadecimal
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// an acquired claim; its owner may run the request, and finish or release the claim
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Handle {
    /// name of the shard's object
    pub shard: String,
    /// digest of workspace and key
    pub key: String,
    /// random id of the claim
    pub nonce: String,
}

impl Handle {
    /// a new claim that is not yet in the store
    pub(super) fn new(workspace: &str, key: &str, shards: u32) -> Self {
        let key_digest = digest(&[workspace.as_bytes(), key.as_bytes()]);
        Handle {
            shard: shard_name(workspace, key, shards),
            key: hex::encode(&key_digest[..KEY_BYTES]),
            nonce: hex::encode(rand::random::<[u8; KEY_BYTES]>()),
        }
    }
}

/// name of the shard of a key; all daemons agree on it if `shards` is the same
pub fn shard_name(workspace: &str, key: &str, shards: u32) -> String {
    let key_digest = digest(&[workspace.as_bytes(), key.as_bytes()]);
    let hash = u32::from_be_bytes([
        key_digest[KEY_BYTES],
        key_digest[KEY_BYTES + 1],
        key_digest[KEY_BYTES + 2],
        key_digest[KEY_BYTES + 3],
    ]);
    let workspace_digest = digest(&[workspace.as_bytes()]);
    let workspace = hex::encode(&workspace_digest[..WORKSPACE_BYTES]);
    format!("{workspace}-{}", hash % shards.max(1))
}

/// digest of parts with their lengths, so that different lists of parts have different digests
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}
