//! Generates the Rust types of the `schema` crate from its JSON Schema files.
//!
//! `cargo run -p schemagen` rewrites them; with `--check` it writes nothing and fails
//! if a committed file is out of date.

use std::process::ExitCode;

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match schemagen::generate(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("schemagen: {error}");
            ExitCode::FAILURE
        }
    }
}
