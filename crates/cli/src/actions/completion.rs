//! `agateloom completion`

use bpaf::Args;

use crate::args::{Shell, options};
use crate::error::Error;

/// program name in the completion script
const PROGRAM: &str = "agateloom";

/// prints the completion script of a shell; bpaf writes it to stdout and exits the process
pub(super) fn run(shell: Shell) -> Result<String, Error> {
    let arguments: &'static [&'static str] = match shell {
        Shell::Bash => &["--bpaf-complete-style-bash"],
        Shell::Zsh => &["--bpaf-complete-style-zsh"],
        Shell::Fish => &["--bpaf-complete-style-fish"],
        Shell::Elvish => &["--bpaf-complete-style-elvish"],
    };
    match options().run_inner(Args::from(arguments).set_name(PROGRAM)) {
        Ok(_) | Err(_) => Err(Error::Other(
            "no completion script was generated for this shell".to_owned(),
        )),
    }
}
