//! Runs the tool, from the command line to the exit code.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::actions;
use crate::args::{Command, options};
use crate::error::{Error, Exit};
use crate::output;
use crate::settings::Settings;

/// width of help and usage messages, columns
const MESSAGE_WIDTH: usize = 100;

/// runs the command given on the command line of the process
#[must_use]
pub fn run() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return report_usage(&failure),
    };
    let target = options.target.overridden_by(options.command.target());
    match execute(&options.command, &target) {
        Ok(text) => {
            output::print(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("agateloom: {error}");
            error.exit_code().into()
        }
    }
}

fn execute(command: &Command, target: &crate::args::Target) -> Result<String, Error> {
    let settings = Settings::load(target)?;
    actions::run(command, &settings)
}

fn report_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(MESSAGE_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
