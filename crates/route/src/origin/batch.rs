use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use macro_rules_attribute::apply;
use schema::message;

use super::{ID_BITS, Origin};

/// bytes of an id in a message
const ID_BYTES: usize = ID_BITS as usize / 8;

/// records of streams, as they are sent and stored
#[apply(message!)]
#[derive(Default)]
pub struct Batch {
    /// the records, by origin and time
    pub groups: Vec<Group>,
}

/// streams of one origin whose records lapse at the same time
#[apply(message!)]
pub struct Group {
    /// where they began; none if that has turned out to be uncertain
    pub origin: Option<Origin>,
    /// when the records lapse, seconds since the Unix epoch
    pub until_s: u64,
    /// the streams
    pub ids: Ids,
}

/// ids of streams, serialised as text of eight characters each
#[apply(message!)]
#[derive(Default)]
#[serde(try_from = "String", into = "String")]
pub struct Ids(pub Vec<u64>);

impl From<Ids> for String {
    fn from(ids: Ids) -> String {
        let mut bytes = Vec::with_capacity(ids.0.len() * ID_BYTES);
        for id in &ids.0 {
            bytes.extend_from_slice(&id.to_le_bytes()[..ID_BYTES]);
        }
        STANDARD_NO_PAD.encode(bytes)
    }
}

impl TryFrom<String> for Ids {
    type Error = String;

    fn try_from(text: String) -> Result<Ids, String> {
        let bytes = STANDARD_NO_PAD
            .decode(&text)
            .map_err(|error| error.to_string())?;
        if bytes.len() % ID_BYTES != 0 {
            return Err(format!(
                "{} bytes are no whole number of ids of {ID_BYTES} bytes",
                bytes.len()
            ));
        }
        let ids = bytes.chunks_exact(ID_BYTES).map(|chunk| {
            let mut id = [0; 8];
            id[..ID_BYTES].copy_from_slice(chunk);
            u64::from_le_bytes(id)
        });
        Ok(Ids(ids.collect()))
    }
}

impl Batch {
    /// whether it has no records
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// number of records
    pub fn len(&self) -> usize {
        self.groups.iter().map(|group| group.ids.0.len()).sum()
    }
}
