//! `agateloom`, the command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
