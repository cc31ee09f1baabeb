//! How much a declaration declares.

use macro_rules_attribute::apply;
use schema::config::Declaration;

use super::render::Render;

/// counts of a declaration
#[apply(schema::message!)]
pub struct Summary {
    /// services
    pub services: usize,
    /// upstreams
    pub upstreams: usize,
    /// workspaces
    pub workspaces: usize,
    /// presets
    pub presets: usize,
    /// preset in force
    pub preset: String,
}

impl Summary {
    /// counts a declaration
    #[must_use]
    pub fn of(declaration: &Declaration) -> Self {
        Summary {
            services: declaration.services.len(),
            upstreams: declaration.upstreams.len(),
            workspaces: declaration.workspaces.len(),
            presets: declaration.presets.len(),
            preset: declaration.preset.clone(),
        }
    }
}

impl Render for Summary {
    fn text(&self) -> String {
        format!(
            "no fault: {} services, {} upstreams, {} workspaces, {} presets; {} in force",
            self.services, self.upstreams, self.workspaces, self.presets, self.preset
        )
    }
}
