//! Checkpoints of limits and usage, from which a restarted daemon resumes.
//!
//! Both are kept in memory and replicated between the daemons, which suffices while one of
//! them survives. Against the loss of all at once, the lease holder writes a checkpoint to
//! the object API every second, and a daemon reads the latest one at start-up.
//!
//! Load pattern: all daemons are killed at a peak and restart within seconds, while callers
//! return at once. Without a checkpoint, limits would have to be assumed either spent, which
//! refuses workspaces far below theirs, or untouched, which grants workspaces beyond theirs
//! another burst with each restart.

mod read;
mod record;
mod write;

pub use read::restore;
pub use record::{Level, Record};
pub use write::write_checkpoints;

/// kind of the object that holds the checkpoint
const KIND: &str = "checkpoints";

/// name of the object that holds the checkpoint
const NAME: &str = "latest";
