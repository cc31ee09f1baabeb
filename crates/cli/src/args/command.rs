//! Commands and their arguments.

use std::path::PathBuf;

use bpaf::Bpaf;

use super::target::{Target, target};

/// commands
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Check a declaration offline
    #[bpaf(command)]
    Check {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
        /// YAML file, or a folder whose YAML files form one declaration
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
    /// Put a declaration in force
    #[bpaf(command)]
    Apply {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
        /// author and expected revision
        #[bpaf(external)]
        change: Change,
        /// YAML file, or a folder whose YAML files form one declaration
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
    /// Print the declaration in force
    #[bpaf(command)]
    Get {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
    },
    /// List the presets, or choose the one in force
    #[bpaf(command)]
    Preset {
        /// the preset command
        #[bpaf(external)]
        preset: Preset,
    },
    /// Show daemons with their revisions, upstream VMs and capacity
    #[bpaf(command)]
    Status {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
    },
    /// Drain a VM: send it no new requests and let those in flight finish
    #[bpaf(command)]
    Drain {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
        /// Name of the VM
        #[bpaf(positional("VM"))]
        vm: String,
    },
    /// Show the spans of a request from all daemons
    #[bpaf(command)]
    Trace {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Generate keys for workspaces
    #[bpaf(command)]
    Key {
        /// the key command
        #[bpaf(external)]
        key: Key,
    },
    /// Print a shell completion script
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
    /// Make the change only if this revision is in force; 0 if there is none yet
    #[bpaf(long, argument("REVISION"), optional)]
    pub expect: Option<u64>,
    /// Author of the change, recorded with it
    #[bpaf(long, argument("NAME"), env("USER"), fallback("unknown".to_owned()))]
    pub author: String,
}

/// preset commands
#[derive(Debug, Clone, Bpaf)]
pub enum Preset {
    /// List the presets; a star marks the one in force
    #[bpaf(command)]
    List {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
    },
    /// Put a preset in force
    #[bpaf(command)]
    Use {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
        /// author and expected revision
        #[bpaf(external)]
        change: Change,
        /// Name of the preset
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// key commands
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Generate a random key and the hash to declare for it
    #[bpaf(command)]
    New {
        /// options given after the command
        #[bpaf(external)]
        target: Target,
    },
}

/// a shell with completion support
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
    /// options given after the command
    #[must_use]
    pub fn target(&self) -> &Target {
        static NO_OPTIONS: Target = Target {
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
            Command::Completion { .. } => &NO_OPTIONS,
        }
    }
}
