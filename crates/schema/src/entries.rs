//! Lists of other systems, of which one entry may be unreadable.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// entries of a JSON list, each decoded by itself
///
/// An entry that is nested too deeply, has a number out of range or another type costs only itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Entries<T> {
    /// the entries that could be decoded, in their order
    pub readable: Vec<T>,
    /// why the others could not
    pub errors: Vec<String>,
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Entries<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Entries<T>, D::Error> {
        deserializer.deserialize_seq(ListVisitor(PhantomData))
    }
}

struct ListVisitor<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Visitor<'de> for ListVisitor<T> {
    type Value = Entries<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Entries<T>, A::Error> {
        let mut entries = Entries {
            readable: Vec::new(),
            errors: Vec::new(),
        };
        while let Some(raw) = list.next_element::<Box<RawValue>>()? {
            match serde_json::from_str(raw.get()) {
                Ok(entry) => entries.readable.push(entry),
                Err(error) => entries.errors.push(error.to_string()),
            }
        }
        Ok(entries)
    }
}
