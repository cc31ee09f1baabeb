//! Formats results as human-readable text or JSON.

mod applied;
mod capacity;
mod key;
mod presets;
mod render;
mod status;
mod summary;
mod table;
mod trace;

pub use applied::Applied;
pub use key::GeneratedKey;
pub use presets::Presets;
pub use render::{Render, print, render};
pub use summary::Summary;
pub use table::Table;
