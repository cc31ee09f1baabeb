//! Runs the compiled tool as a process, as operators do.

mod daemon;
mod offline;
mod platform;
mod support;
