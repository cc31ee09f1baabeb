//! Errors of commands and their exit codes.

mod exit;
mod failure;

pub use exit::Exit;
pub use failure::Error;
