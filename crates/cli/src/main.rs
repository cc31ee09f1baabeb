//! `agateloom`, the operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
