//! Starts one stand-in.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin::command::run()
}
