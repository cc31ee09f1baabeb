//! Arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves callers of language models and plain services from this VM.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// settings file
    #[bpaf(long, argument("FILE"))]
    pub settings: PathBuf,
    /// only check the settings file
    #[bpaf(long)]
    pub check: bool,
}

/// reads the arguments of the process; ends it when they are wrong
pub fn parse() -> Args {
    args().run()
}
