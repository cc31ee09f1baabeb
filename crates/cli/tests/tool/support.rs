//! Helpers that run the tool as a process and capture its output.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// exit code and output of one run
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// runs the tool with the given arguments
pub fn run_tool(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agateloom"));
    let output: Output = command
        .args(arguments)
        .env("USER", "mara")
        .output()
        .expect("start the tool");
    Run {
        code: output.status.code().expect("exit code"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8 output"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8 output"),
    }
}

/// path of a file in `examples`
pub fn example_path(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    path.to_string_lossy().into_owned()
}

/// writes a file and returns its path
pub fn write_file(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("write file");
    path.to_string_lossy().into_owned()
}
