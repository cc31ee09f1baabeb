//! The command line.

mod command;
mod help;
mod options;
mod target;

pub use command::{Change, Command, Key, Preset, Shell};
pub use options::{Options, options};
pub use target::Target;
