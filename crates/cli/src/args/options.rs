//! The whole command line.

use bpaf::Bpaf;

use super::command::{Command, command};
use super::help;
use super::target::{Target, target};

/// Operates agateloom: checks and applies declarations, chooses presets, looks at what runs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options("agateloom"), version, footer(help::footer()))]
pub struct Options {
    /// options in front of the command
    #[bpaf(external)]
    pub target: Target,
    /// what to do
    #[bpaf(external)]
    pub command: Command,
}
