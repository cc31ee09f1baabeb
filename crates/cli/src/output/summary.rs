//! Summary of a declaration.

use macro_rules_attribute::apply;
use schema::config::Declaration;

use super::render::Render;

/// number of items of each kind in a declaration
#[apply(schema::message!)]
pub struct Summary {
    /// number of services
    pub services: usize,
    /// number of upstreams
    pub upstreams: usize,
    /// number of workspaces
    pub workspaces: usize,
    /// number of presets
    pub presets: usize,
    /// name of the preset in force
    pub preset: String,
}

impl Summary {
    /// summarizes a declaration
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
    fn to_text(&self) -> String {
        format!(
            "no faults: {} services, {} upstreams, {} workspaces, {} presets; {} in force",
            self.services, self.upstreams, self.workspaces, self.presets, self.preset
        )
    }
}
