//! Runs the operators' command-line tool against a world.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Output;

use schema::config::Declaration;

use crate::process::Program;

/// runs `agateloom` with the addresses and the operator key of a world
#[derive(Debug)]
pub struct Operator {
    folder: PathBuf,
    objects: SocketAddr,
    control: SocketAddr,
    key_file: PathBuf,
}

impl Operator {
    pub(super) fn new(folder: &Path, objects: SocketAddr, control: SocketAddr) -> Self {
        let key_file = folder.join(super::build::OPERATOR_KEY_FILE);
        Self {
            folder: folder.to_owned(),
            objects,
            control,
            key_file,
        }
    }

    /// runs a command and returns its standard output
    ///
    /// # Errors
    /// When it can't be started or fails; the error contains its output.
    pub fn run(&self, arguments: &[&str]) -> io::Result<String> {
        let output = self.output(arguments)?;
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(printed);
        }
        let error = String::from_utf8_lossy(&output.stderr);
        Err(io::Error::other(format!(
            "agateloom {arguments:?} failed ({}): {printed}{error}",
            output.status
        )))
    }

    /// runs a command and returns its output and exit code
    pub fn output(&self, arguments: &[&str]) -> io::Result<Output> {
        let mut command = Program::Cli.command()?;
        command
            .arg("--objects")
            .arg(format!("http://{}", self.objects));
        command.arg("--control").arg(self.control.to_string());
        command.arg("--operator-key-file").arg(&self.key_file);
        command.args(arguments).output()
    }

    /// applies a declaration as the current configuration
    pub fn apply(&self, declaration: &Declaration) -> io::Result<String> {
        let file = self.folder.join("declaration.yaml");
        let text = serde_norway::to_string(declaration).map_err(io::Error::other)?;
        fs::write(&file, text)?;
        self.run(&["apply", &file.to_string_lossy()])
    }
}
