//! Executables of the Cargo workspace, built once per process.

use std::env;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use macro_rules_attribute::apply;
use schema::value;

/// an executable of the Cargo workspace
#[apply(value!)]
pub enum Program {
    /// `agateloomd`
    Daemon,
    /// `agateloom`
    Cli,
    /// `standin`
    Standin,
}

/// result of the build: folder of the executables, or the error message
static BUILD: OnceLock<Result<PathBuf, String>> = OnceLock::new();

impl Program {
    /// path of the executable; the first call builds all of them in the profile of this process
    pub fn path(self) -> io::Result<PathBuf> {
        let folder = BUILD.get_or_init(|| build().map_err(|error| error.to_string()));
        let folder = folder
            .as_ref()
            .map_err(|message| io::Error::other(message.clone()))?;
        Ok(folder.join(self.name()))
    }

    /// a command that runs the executable
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

/// builds the executables into the target folder that this process runs from
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
        "cargo build of daemon, cli and standin failed:\n{message}"
    )))
}

/// `target/PROFILE` of an executable in that folder or in its `deps` or `examples`
fn profile_folder(executable: &Path) -> io::Result<PathBuf> {
    let folder = executable.parent().ok_or(io::ErrorKind::NotFound)?;
    let is_subfolder = folder
        .file_name()
        .is_some_and(|name| name == "deps" || name == "examples");
    let folder = if is_subfolder {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.to_owned())
}
