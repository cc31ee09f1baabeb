//! The daemon: wiring of all crates, settings, shutdown.
//!
//! One process serves callers, exchanges facts with the other daemons and performs the
//! duties that rendezvous hashing assigns to it in its data centre: following the
//! configuration, reading the list of VMs and the notices, polling upstreams.
//!
//! Lock order: none of the locks of this crate is held while another is acquired.

mod app;
mod args;
mod capacity;
mod checkpoint;
pub mod config;
mod error;
mod gauges;
mod load;
mod logs;
mod on_platform;
mod operator;
mod secret;
mod share;
mod stop;
mod sweep;
mod vms;

use std::process::ExitCode;

use args::Args;

pub use error::Error;

/// runs the daemon with the arguments of the process
pub fn main() -> ExitCode {
    let result = match args::parse() {
        Args::Own { settings, check } => app::run(&settings, check),
        Args::Platform { check, log } => on_platform::run(check, &log),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agateloomd: {error}");
            ExitCode::FAILURE
        }
    }
}
