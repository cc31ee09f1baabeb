use std::io::{Read, Write};
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use macro_rules_attribute::apply;
use schema::message;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// largest decoded size in bytes; a store's objects are smaller
const MAX_DECODED_BYTES: u64 = 16 * 1024 * 1024;

/// a compressed value, cheap to clone
///
/// Configurations repeat the same names and shrink to about a tenth.
#[apply(message!)]
#[serde(transparent)]
pub struct Encoded(Arc<str>);

impl Encoded {
    /// compresses a value
    ///
    /// # Errors
    /// A description of the value that can't be serialised.
    pub fn new<T: Serialize>(value: &T) -> Result<Encoded, String> {
        let json = serde_json::to_vec(value).map_err(|error| error.to_string())?;
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder
            .write_all(&json)
            .and_then(|()| encoder.finish())
            .map_err(|error| error.to_string())?;
        Ok(Encoded(STANDARD.encode(compressed).into()))
    }

    /// decompresses the value
    ///
    /// # Errors
    /// A description of the invalid content.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
        let compressed = STANDARD
            .decode(self.0.as_bytes())
            .map_err(|error| error.to_string())?;
        let mut json = Vec::new();
        ZlibDecoder::new(&compressed[..])
            .take(MAX_DECODED_BYTES)
            .read_to_end(&mut json)
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&json).map_err(|error| error.to_string())
    }
}
