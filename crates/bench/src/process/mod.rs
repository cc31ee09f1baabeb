//! Child processes: their programs, signals, logs and use of the machine.

mod child;
mod program;
mod usage;

pub use child::Child;
pub use program::Program;
pub use usage::Usage;
