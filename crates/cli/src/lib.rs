//! The operators' command-line tool.
//!
//! [`args`] reads the command line, [`settings`] joins it with the settings
//! file, [`actions`] does the work and [`output`] prints the result. Commands
//! that change the configuration talk to the platform's object API; those that
//! look at or drain running processes talk to a daemon.

pub mod actions;
pub mod args;
pub mod error;
pub mod output;
mod run;
pub mod settings;

pub use run::run;
