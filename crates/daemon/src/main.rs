//! The daemon `agateloomd`.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
