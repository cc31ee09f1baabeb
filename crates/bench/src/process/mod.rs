//! Child processes: executables, signals, logs and resource usage.

mod child;
mod program;
mod usage;

pub use child::Child;
pub use program::Program;
pub use usage::Usage;
