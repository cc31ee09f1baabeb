//! Deterministic generation: a token is a function of the prompt and its index.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "ta", "te", "ti", "to",
];

/// bits of the hash that select one syllable
const SYLLABLE_BITS: u32 = 5;

/// number of syllables in a word
const WORD_SYLLABLES: u32 = 4;

/// token `index` of the text generated for `prompt`: a space and a word
pub fn token(prompt: &str, index: u32) -> String {
    token_for_hash(prompt_hash(prompt), index)
}

/// hash of a prompt, as in records of executed streams
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// token `index` of the text generated for the prompt with this hash
pub(crate) fn token_for_hash(prompt_hash: u64, index: u32) -> String {
    let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let mut word = String::from(" ");
    for _ in 0..WORD_SYLLABLES {
        let syllable = bits as usize % SYLLABLES.len();
        word.push_str(SYLLABLES[syllable]);
        bits >>= SYLLABLE_BITS;
    }
    word
}
