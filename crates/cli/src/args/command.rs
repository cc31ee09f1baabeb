//! The commands.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::target::{Target, target};

/// what to do
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Check a declaration without any connection
    #[bpaf(command)]
    Check {
        /// options after the command
        #[bpaf(external)]
        target: Target,
        /// YAML file, or a folder whose YAML files make one declaration
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
    /// Put a declaration in force
    #[bpaf(command)]
    Apply {
        /// options after the command
        #[bpaf(external)]
        target: Target,
        /// about the change
        #[bpaf(external)]
        change: Change,
        /// YAML file, or a folder whose YAML files make one declaration
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
    /// Print the declaration in force
    #[bpaf(command)]
    Get {
        /// options after the command
        #[bpaf(external)]
        target: Target,
    },
    /// List the presets, or choose the one in force
    #[bpaf(command)]
    Preset {
        /// what to do with presets
        #[bpaf(external)]
        preset: Preset,
    },
    /// Show daemons with their revisions, upstream VMs and capacity
    #[bpaf(command)]
    Status {
        /// options after the command
        #[bpaf(external)]
        target: Target,
    },
    /// Give a VM no new work and let it finish what it has
    #[bpaf(command)]
    Drain {
        /// options after the command
        #[bpaf(external)]
        target: Target,
        /// Name of the VM
        #[bpaf(positional("VM"))]
        vm: String,
    },
    /// Show the hops of a request over all daemons
    #[bpaf(command)]
    Trace {
        /// options after the command
        #[bpaf(external)]
        target: Target,
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Make keys for workspaces
    #[bpaf(command)]
    Key {
        /// what to do with keys
        #[bpaf(external)]
        key: Key,
    },
    /// Print a script that completes this tool's commands
    #[bpaf(command)]
    Completion {
        /// bash, zsh, fish or elvish
        #[bpaf(positional("SHELL"))]
        shell: Shell,
    },
}

/// options of a change to the configuration
#[derive(Debug, Clone, Bpaf)]
pub struct Change {
    /// Make the change only if this revision is the one in force; 0 for none yet
    #[bpaf(long, argument("REVISION"), optional)]
    pub expect: Option<u64>,
    /// Who makes the change, for others to see
    #[bpaf(long, argument("NAME"), env("USER"), fallback("unknown".to_owned()))]
    pub author: String,
}

/// what to do with presets
#[derive(Debug, Clone, Bpaf)]
pub enum Preset {
    /// List the presets; a star marks the one in force
    #[bpaf(command)]
    List {
        /// options after the command
        #[bpaf(external)]
        target: Target,
    },
    /// Put a preset in force
    #[bpaf(command)]
    Use {
        /// options after the command
        #[bpaf(external)]
        target: Target,
        /// about the change
        #[bpaf(external)]
        change: Change,
        /// Name of the preset
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// what to do with keys
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Print a random key and the hash to declare for it
    #[bpaf(command)]
    New {
        /// options after the command
        #[bpaf(external)]
        target: Target,
    },
}

/// a shell that can complete commands
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shell {
    /// bash
    Bash,
    /// zsh
    Zsh,
    /// fish
    Fish,
    /// elvish
    Elvish,
}

impl std::str::FromStr for Shell {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "bash" => Ok(Shell::Bash),
            "zsh" => Ok(Shell::Zsh),
            "fish" => Ok(Shell::Fish),
            "elvish" => Ok(Shell::Elvish),
            _ => Err("expected bash, zsh, fish or elvish".to_owned()),
        }
    }
}

impl Command {
    /// options that were given after the command
    #[must_use]
    pub fn target(&self) -> &Target {
        static NONE: Target = Target {
            settings: None,
            objects: None,
            control: None,
            operator_key_file: None,
            token_file: None,
            output: None,
            timeout: None,
        };
        match self {
            Command::Check { target, .. }
            | Command::Apply { target, .. }
            | Command::Get { target }
            | Command::Preset {
                preset: Preset::List { target } | Preset::Use { target, .. },
            }
            | Command::Status { target }
            | Command::Drain { target, .. }
            | Command::Trace { target, .. }
            | Command::Key {
                key: Key::New { target },
            } => target,
            Command::Completion { .. } => &NONE,
        }
    }
}
