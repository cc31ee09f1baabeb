//! Runs one stand-in, chosen by the first argument.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin::command::run()
}
