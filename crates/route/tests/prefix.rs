//! Block hashes of a prompt and the encoding of load levels.

use std::time::Duration;

use proptest::prelude::*;
use route::{level, prefix};
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[test]
fn blocks_are_chained_hashes_of_sixteen_words() {
    let words: Vec<String> = (0..40).map(|index| format!("w{index}")).collect();
    let first = xxh3_64_with_seed(words[..16].join(" ").as_bytes(), 0);
    let second = xxh3_64_with_seed(words[16..32].join(" ").as_bytes(), first);
    assert_eq!(prefix::blocks(&words.join(" \n\t")), [first, second]);
    assert_eq!(prefix::tokens(&words.join("  ")), 40);
}

#[test]
fn incomplete_block_has_no_hash() {
    assert!(prefix::blocks("").is_empty());
    assert!(prefix::blocks(&"w ".repeat(15)).is_empty());
    assert_eq!(prefix::blocks(&"w ".repeat(16)).len(), 1);
}

proptest! {
    #[test]
    fn shared_words_give_shared_blocks(shared in 0usize..80, one in 0usize..40, other in 0usize..40) {
        let start = "s ".repeat(shared);
        let one = prefix::blocks(&format!("{start}{}", "x ".repeat(one)));
        let other = prefix::blocks(&format!("{start}{}", "y ".repeat(other)));
        let complete = shared / 16;
        prop_assert_eq!(&one[..complete], &other[..complete]);
        prop_assert!(one.iter().skip(complete).all(|block| !other[complete..].contains(block)));
    }

    #[test]
    fn level_is_within_four_percent(micros in 100u64..2_000_000_000) {
        let queue = Duration::from_micros(micros);
        let decoded = level::decode(level::encode(queue)).as_secs_f64();
        prop_assert!((decoded / queue.as_secs_f64() - 1.0).abs() < 0.04);
    }

    #[test]
    fn level_survives_a_round_trip(level in 0u8..=255) {
        prop_assert_eq!(level::encode(level::decode(level)), level);
    }
}
