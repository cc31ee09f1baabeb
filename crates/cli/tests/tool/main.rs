//! Runs the tool as operators do.

mod daemon;
mod offline;
mod platform;
mod support;
