//! Prints results, as text for people or as JSON for programs.

mod capacity;
mod key;
mod render;
mod status;
mod summary;
mod table;
mod trace;

pub use key::KeyPair;
pub use render::{Render, print, render};
pub use summary::Summary;
pub use table::Table;
