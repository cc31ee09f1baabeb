//! Arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves callers of language models and plain services from this VM.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Args {
    /// Serves on the users' platform, with the settings that it provides
    #[bpaf(command("platform"))]
    Platform {
        /// only check the settings
        #[bpaf(long)]
        check: bool,
        /// what to log, such as `info` or `gateway=debug,info`
        #[bpaf(long, argument("FILTER"), fallback("info".to_owned()))]
        log: String,
    },
    /// Serves with a settings file of its own
    Own {
        /// settings file
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
        /// only check the settings file
        #[bpaf(long)]
        check: bool,
    },
}

/// parses the arguments of the process; exits if they are invalid
pub fn parse() -> Args {
    args().run()
}
