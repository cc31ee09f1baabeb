//! Entry point of the bench's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    bench::command::run()
}
