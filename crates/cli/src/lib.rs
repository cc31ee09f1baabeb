//! Command-line tool for operators.
//!
//! [`args`] parses the command line, [`settings`] merges it with the settings
//! file, [`actions`] runs the command and [`output`] prints the result. Commands
//! that read or change the configuration use the platform's object API; those that
//! inspect or drain running processes call a daemon.

pub mod actions;
pub mod args;
pub mod error;
pub mod output;
mod run;
pub mod settings;

pub use run::run;
