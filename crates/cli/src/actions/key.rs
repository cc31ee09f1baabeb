//! `agateloom key new`

use rand::TryRngCore;
use rand::rngs::OsRng;
use sha2::{Digest, Sha256};

use crate::error::Error;
use crate::output::{self, GeneratedKey};
use crate::settings::Settings;

/// number of random bytes in a key
const KEY_BYTES: usize = 32;

/// prefix of every key, by which secret scanners can find leaked keys
const KEY_PREFIX: &str = "agl-";

/// generates a key and the hash to declare for it
pub(super) fn run(settings: &Settings) -> Result<String, Error> {
    let mut bytes = [0; KEY_BYTES];
    OsRng.try_fill_bytes(&mut bytes).map_err(|error| {
        Error::Other(format!(
            "can't get random bytes from the operating system: {error}"
        ))
    })?;
    let key = format!("{KEY_PREFIX}{}", hex::encode(bytes));
    let sha256 = hex::encode(Sha256::digest(key.as_bytes()));
    output::render(&GeneratedKey { key, sha256 }, settings.output)
}
