//! Block hashes of a prompt, as used by the engines' prefix caches.
//!
//! A token is a word delimited by white space, and a block is sixteen tokens. The hash of
//! a block is `xxh3_64` over its words joined by one space, seeded with the hash of the
//! previous block (0 for the first). A hash thus identifies the whole prefix up to and
//! including its block. An incomplete last block has no hash.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// tokens in a block
pub const BLOCK_TOKENS: usize = 16;

/// returns the chained hashes of the complete blocks of a prompt
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut words = prompt.split_whitespace();
    let mut text = String::new();
    let mut seed = 0;
    while fill(&mut words, &mut text) {
        seed = xxh3_64_with_seed(text.as_bytes(), seed);
        hashes.push(seed);
    }
    hashes
}

/// counts the tokens of a prompt
pub fn tokens(prompt: &str) -> u32 {
    let count = prompt.split_whitespace().count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// writes the words of the next block to `text`; false if too few are left to fill it
fn fill<'a>(words: &mut impl Iterator<Item = &'a str>, text: &mut String) -> bool {
    text.clear();
    for index in 0..BLOCK_TOKENS {
        let Some(word) = words.next() else {
            return false;
        };
        if index > 0 {
            text.push(' ');
        }
        text.push_str(word);
    }
    true
}
