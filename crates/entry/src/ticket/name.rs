//! Name of a ticket.

use std::fmt;

use macro_rules_attribute::apply;
use schema::key;

/// first part of the text of every ticket
const PREFIX: &str = "ticket";
/// random bytes in a ticket
const RANDOM_BYTES: usize = 16;

/// name of a ticket: the daemon that issued it, and random bytes
#[apply(key!)]
pub struct Name {
    /// instance of the daemon that issued it
    pub issuer: u64,
    random: String,
}

impl Name {
    /// a new random name
    pub fn new(issuer: u64) -> Name {
        let random: [u8; RANDOM_BYTES] = rand::random();
        Name {
            issuer,
            random: hex::encode(random),
        }
    }

    /// parses an idempotency key; `None` if it is not the name of a ticket
    pub fn parse(key: &str) -> Option<Name> {
        let rest = key.strip_prefix(PREFIX)?.strip_prefix('-')?;
        let (issuer, random) = rest.split_once('-')?;
        let issuer = u64::from_str_radix(issuer, 16).ok()?;
        if hex::decode(random).ok()?.len() != RANDOM_BYTES {
            return None;
        }
        Some(Name {
            issuer,
            random: random.to_owned(),
        })
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}-{:x}-{}", self.issuer, self.random)
    }
}
