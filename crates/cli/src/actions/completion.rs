//! `agateloom completion`

use bpaf::Args;

use crate::args::{Shell, options};
use crate::error::Error;

/// name of the program in the script
const PROGRAM: &str = "agateloom";

/// prints the script of a shell; the library writes it out and ends the process
pub(super) fn run(shell: Shell) -> Result<String, Error> {
    let arguments: &'static [&'static str] = match shell {
        Shell::Bash => &["--bpaf-complete-style-bash"],
        Shell::Zsh => &["--bpaf-complete-style-zsh"],
        Shell::Fish => &["--bpaf-complete-style-fish"],
        Shell::Elvish => &["--bpaf-complete-style-elvish"],
    };
    match options().run_inner(Args::from(arguments).set_name(PROGRAM)) {
        Ok(_) | Err(_) => Err(Error::Failed("no script for this shell".to_owned())),
    }
}
