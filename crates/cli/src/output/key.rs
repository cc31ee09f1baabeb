//! A new key.

use macro_rules_attribute::apply;

use super::render::Render;

/// a key and the hash to declare for it
#[apply(schema::message!)]
pub struct KeyPair {
    /// what the caller sends as bearer token
    pub key: String,
    /// what stands under `keys` of the workspace
    pub sha256: String,
}

impl Render for KeyPair {
    fn text(&self) -> String {
        format!("key     {}\nsha256  {}", self.key, self.sha256)
    }
}
