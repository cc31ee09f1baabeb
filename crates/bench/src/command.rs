//! The command line of the bench.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{demo, overhead, replay, soak, trace};

/// runs agateloom with stand-ins on this machine
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command), private)]
enum Command {
    /// Show how agateloom responds to the reclaim of VMs
    #[bpaf(command)]
    Demo,
    /// Measure the latency and processor time that a daemon adds to a direct engine call
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Generate traces of calls
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::options))] trace::Options),
    /// Replay a trace against daemons and compare the results with its expected outcomes
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::options))] replay::Options),
    /// Run agateloom under seeded load and faults and check its guarantees
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
}

/// runs the command given on the command line
pub fn run() -> ExitCode {
    let result = match command().run() {
        Command::Demo => demo::run(),
        Command::Overhead(options) => overhead::run(&options),
        Command::Trace(options) => options.run(),
        Command::Replay(options) => replay::run(&options),
        Command::Soak(options) => soak::run(&options),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("bench command failed: {error}");
            ExitCode::FAILURE
        }
    }
}
