//! Load levels as text, a character per upstream VM.
//!
//! A level is 0 (idle) to [`HIGHEST`]; the character is taken from the URL-safe
//! base64 alphabet, so a vector needs no escapes in JSON. The vector is in ascending
//! order of the VMs' addresses; [`order`] tells sender and receiver whether they
//! mean the same VMs.

use xxhash_rust::xxh3::Xxh3;

/// highest level
pub const HIGHEST: u8 = 63;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// writes levels as text; higher ones count as [`HIGHEST`]
pub fn encode(levels: &[u8]) -> String {
    let character = |level: &u8| char::from(ALPHABET[usize::from((*level).min(HIGHEST))]);
    levels.iter().map(character).collect()
}

/// reads levels; `None` when a character is not of the alphabet
pub fn decode(text: &str) -> Option<Vec<u8>> {
    text.bytes().map(level).collect()
}

fn level(character: u8) -> Option<u8> {
    let place = ALPHABET.iter().position(|known| *known == character)?;
    u8::try_from(place).ok()
}

/// hash of the addresses that a vector is for, which have to be sorted
pub fn order<'a>(addresses: impl IntoIterator<Item = &'a str>) -> u32 {
    let mut hasher = Xxh3::new();
    for address in addresses {
        hasher.update(address.as_bytes());
        hasher.update(b"\n");
    }
    hasher.digest() as u32
}
