//! The daemon: wiring of all areas, settings, shutdown.
//!
//! One process serves callers, talks to the other daemons and fulfils the
//! duties that rendezvous hashing gives it in its data centre: following the
//! configuration, reading the list of VMs and the notices, polling upstreams.
//!
//! Lock order: none of the locks of this crate is held while another is taken.

mod app;
mod args;
mod capacity;
mod config;
mod error;
mod gauges;
mod load;
mod logs;
mod operator;
mod secret;
mod share;
mod stop;
mod sweep;
mod vms;

use std::process::ExitCode;

pub use error::Error;

/// runs the daemon with the arguments of the process
pub fn main() -> ExitCode {
    let args = args::parse();
    match app::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agateloomd: {error}");
            ExitCode::FAILURE
        }
    }
}
