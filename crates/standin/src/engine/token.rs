//! The answer to a prompt, token by token.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "ta", "te", "ti", "to",
];

/// bits that choose one syllable
const SYLLABLE_BITS: u32 = 5;

/// syllables of one word
const WORD_SYLLABLES: u32 = 4;

/// token `index` of the answer to `prompt`: a space and a word
pub fn token(prompt: &str, index: u32) -> String {
    word(prompt_hash(prompt), index)
}

/// hash of a prompt, as records show it
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// token `index` of the answer to the prompt with this hash
pub(crate) fn word(prompt_hash: u64, index: u32) -> String {
    let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let mut word = String::from(" ");
    for _ in 0..WORD_SYLLABLES {
        let syllable = bits as usize % SYLLABLES.len();
        word.push_str(SYLLABLES[syllable]);
        bits >>= SYLLABLE_BITS;
    }
    word
}
