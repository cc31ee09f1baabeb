//! A generated key.

use macro_rules_attribute::apply;

use super::render::Render;

/// a key and the hash to declare for it
#[apply(schema::message!)]
pub struct GeneratedKey {
    /// bearer token for the caller to send
    pub key: String,
    /// hash to declare under `keys` of the workspace
    pub sha256: String,
}

impl Render for GeneratedKey {
    fn to_text(&self) -> String {
        format!("key     {}\nsha256  {}", self.key, self.sha256)
    }
}
