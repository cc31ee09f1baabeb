//! Failures of commands and the exit codes they end in.

mod exit;
mod failure;

pub use exit::Exit;
pub use failure::Error;
