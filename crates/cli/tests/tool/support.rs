//! Runs the tool as a process and looks at what it says.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// what one run gave
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// runs the tool with these arguments
pub fn agateloom(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agateloom"));
    let output: Output = command
        .args(arguments)
        .env("USER", "mara")
        .output()
        .expect("the tool runs");
    Run {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// path of an example file
pub fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    path.to_string_lossy().into_owned()
}

/// writes a file and gives its path
pub fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path.to_string_lossy().into_owned()
}
