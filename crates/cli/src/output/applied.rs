//! A change of the configuration that was made.

use macro_rules_attribute::apply;
use schema::objects::Edit;

use super::render::Render;

/// a change that was made
#[apply(schema::message!)]
pub struct Applied {
    /// revision of the configuration from now on
    pub revision: u64,
    /// preset in force
    pub preset: String,
    /// random id of the change
    pub change: String,
}

impl Applied {
    /// the change that an edit records
    #[must_use]
    pub fn new(edit: &Edit, preset: &str) -> Self {
        Applied {
            revision: edit.revision,
            preset: preset.to_owned(),
            change: edit.change.clone(),
        }
    }
}

impl Render for Applied {
    fn text(&self) -> String {
        format!(
            "revision {} is applied, preset {}; daemons follow within seconds, see `agateloom status`",
            self.revision, self.preset
        )
    }
}
