//! The programs of the workspace, built once.

use std::env;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use macro_rules_attribute::apply;
use schema::value;

/// a program of the workspace
#[apply(value!)]
pub enum Program {
    /// `agateloomd`
    Daemon,
    /// `agateloom`
    Cli,
    /// `standin`
    Standin,
}

/// folder of the programs once they are built, or why they aren't
static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();

impl Program {
    /// its file, after building all programs in the profile of this process
    pub fn path(self) -> io::Result<PathBuf> {
        let folder = FOLDER.get_or_init(|| build().map_err(|error| error.to_string()));
        let folder = folder
            .as_ref()
            .map_err(|message| io::Error::other(message.clone()))?;
        Ok(folder.join(self.name()))
    }

    /// a command that runs it
    pub fn command(self) -> io::Result<Command> {
        self.path().map(Command::new)
    }

    fn name(self) -> &'static str {
        match self {
            Program::Daemon => "agateloomd",
            Program::Cli => "agateloom",
            Program::Standin => "standin",
        }
    }
}

/// builds the programs into the target folder that this process runs from
fn build() -> io::Result<PathBuf> {
    let folder = profile_folder(&env::current_exe()?)?;
    let target = folder.parent().unwrap_or(&folder);
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        None | Some("debug") => "dev",
        Some(name) => name,
    };
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let output = Command::new(cargo)
        .args([
            "build", "--quiet", "-p", "daemon", "-p", "cli", "-p", "standin",
        ])
        .args(["--profile", profile])
        .arg("--manifest-path")
        .arg(manifest)
        .arg("--target-dir")
        .arg(target)
        .output()?;
    if output.status.success() {
        return Ok(folder);
    }
    let message = String::from_utf8_lossy(&output.stderr);
    Err(io::Error::other(format!(
        "the programs could not be built:\n{message}"
    )))
}

/// `target/PROFILE` of an executable there or in its `deps`
fn profile_folder(executable: &Path) -> io::Result<PathBuf> {
    let folder = executable.parent().ok_or(io::ErrorKind::NotFound)?;
    let is_deps = folder
        .file_name()
        .is_some_and(|name| name == "deps" || name == "examples");
    let folder = if is_deps {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.to_owned())
}
