//! Writes the Rust types of every schema file into the `schema` crate.
//!
//! `cargo run -p schemagen` rewrites them; with `--check` it only compares and
//! fails when a committed file differs.

use std::process::ExitCode;

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match schemagen::run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("schemagen: {error}");
            ExitCode::FAILURE
        }
    }
}
