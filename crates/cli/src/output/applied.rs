//! Result of a change to the configuration.

use macro_rules_attribute::apply;
use schema::objects::Edit;

use super::render::Render;

/// a change that took effect
#[apply(schema::message!)]
pub struct Applied {
    /// revision of the configuration after the change
    pub revision: u64,
    /// preset in force
    pub preset: String,
    /// random id of the change
    pub change: String,
}

impl Applied {
    /// creates the result from the recorded edit
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
    fn to_text(&self) -> String {
        format!(
            "revision {} is in force, preset {}; daemons apply it within seconds, see `agateloom status`",
            self.revision, self.preset
        )
    }
}
