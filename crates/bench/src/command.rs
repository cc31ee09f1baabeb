//! The command line of the bench.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{demo, overhead, replay, soak, trace};

/// runs agateloom among stand-ins on this machine
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(command), private)]
enum Command {
    /// Show what agateloom does when VMs are reclaimed
    #[bpaf(command)]
    Demo,
    /// Measure what a daemon adds to a direct call of an engine
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Generate traces of calls
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::options))] trace::Options),
    /// Replay a trace against daemons and compare it with its stated outcomes
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::options))] replay::Options),
    /// Put agateloom under seeded load and faults and judge what it promises
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
}

/// runs the command that the command line names
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
            eprintln!("the bench failed: {error}");
            ExitCode::FAILURE
        }
    }
}
