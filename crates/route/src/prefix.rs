//! Blocks of a prompt, as the engines' prefix caches name them.
//!
//! A token is a word between white space. Sixteen tokens make a block; its hash is
//! `xxh3_64` over the words joined by one space, with the hash of the block before as
//! the seed (0 for the first), so that a hash names the whole prefix up to its block.
//! An unfinished last block has no hash.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// tokens in a block
pub const BLOCK_TOKENS: usize = 16;

/// returns the chained hashes of the finished blocks of a prompt
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

/// writes the words of the next block to `text`; false if they don't fill one
fn fill<'a>(words: &mut impl Iterator<Item = &'a str>, text: &mut String) -> bool {
    text.clear();
    for place in 0..BLOCK_TOKENS {
        let Some(word) = words.next() else {
            return false;
        };
        if place > 0 {
            text.push(' ');
        }
        text.push_str(word);
    }
    true
}
