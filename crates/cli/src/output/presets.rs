//! The presets of a declaration.

use macro_rules_attribute::apply;
use schema::config::Preset;
use store::config::Revision;

use super::render::Render;
use super::table::Table;

/// the presets of a declaration and the one in force
#[apply(schema::message!)]
pub struct Presets {
    /// revision of the configuration
    pub revision: u64,
    /// name of the preset in force
    pub preset: String,
    /// all presets
    pub presets: Vec<Preset>,
}

impl Presets {
    /// the presets of a revision
    #[must_use]
    pub fn of(revision: &Revision) -> Self {
        Presets {
            revision: revision.number(),
            preset: revision.declaration.preset.clone(),
            presets: revision.declaration.presets.clone(),
        }
    }

    /// names of the presets, separated by commas
    #[must_use]
    pub fn names(&self) -> String {
        let names: Vec<&str> = self
            .presets
            .iter()
            .map(|preset| preset.name.as_str())
            .collect();
        names.join(", ")
    }
}

impl Render for Presets {
    fn to_text(&self) -> String {
        let mut table = Table::new(&[
            "",
            "PRESET",
            "ADMITS FROM",
            "SERVICE",
            "VMS",
            "SPARE",
            "HOLD",
        ]);
        for preset in &self.presets {
            let marker = if preset.name == self.preset { "*" } else { " " };
            let admit_priority = preset.admit_priority.to_string();
            if preset.capacity.is_empty() {
                table.add_row(&[marker, &preset.name, &admit_priority, "", "", "", ""]);
            }
            for capacity in &preset.capacity {
                let vms = format!("{}-{}", capacity.floor, capacity.ceiling);
                let hold = if capacity.hold { "yes" } else { "no" };
                let spare = capacity.spare.to_string();
                table.add_row(&[
                    marker,
                    &preset.name,
                    &admit_priority,
                    &capacity.service,
                    &vms,
                    &spare,
                    hold,
                ]);
            }
        }
        table.to_text()
    }
}
