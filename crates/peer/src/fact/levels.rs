//! Load levels as text, one character for each upstream VM.
//!
//! A level is 0 (idle) to [`HIGHEST`]; the character is taken from the URL-safe
//! base64 alphabet, so the text needs no escapes in JSON. The characters are in ascending
//! order of the VMs' addresses; by [`addresses_hash`] the receiver checks that its list of
//! VMs is the sender's.

use xxhash_rust::xxh3::Xxh3;

/// highest level
pub const HIGHEST: u8 = 63;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// encodes levels; higher ones are clamped to [`HIGHEST`]
pub fn encode(levels: &[u8]) -> String {
    let character = |level: &u8| char::from(ALPHABET[usize::from((*level).min(HIGHEST))]);
    levels.iter().map(character).collect()
}

/// decodes levels; `None` if a character is not in the alphabet
pub fn decode(text: &str) -> Option<Vec<u8>> {
    text.bytes().map(level).collect()
}

fn level(character: u8) -> Option<u8> {
    let index = ALPHABET
        .iter()
        .position(|candidate| *candidate == character)?;
    u8::try_from(index).ok()
}

/// hash of the VMs' addresses, which have to be sorted
pub fn addresses_hash<'a>(addresses: impl IntoIterator<Item = &'a str>) -> u32 {
    let mut hasher = Xxh3::new();
    for address in addresses {
        hasher.update(address.as_bytes());
        hasher.update(b"\n");
    }
    hasher.digest() as u32
}
