//! The complete command line.

use bpaf::Bpaf;

use super::command::{Command, command};
use super::help;
use super::target::{Target, target};

/// Operate agateloom: check and apply declarations, choose presets, inspect and drain VMs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options("agateloom"), version, footer(help::footer()))]
pub struct Options {
    /// options given before the command
    #[bpaf(external)]
    pub target: Target,
    /// the command to run
    #[bpaf(external)]
    pub command: Command,
}
