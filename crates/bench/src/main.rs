//! Runs one of the bench's commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    bench::command::run()
}
