//! Options accepted by every command.

use std::path::PathBuf;

use bpaf::Bpaf;
use schema::client::Output;

/// addresses, credentials, output format and time limit
#[derive(Debug, Clone, Default, PartialEq, Bpaf)]
#[bpaf(generate(target))]
pub struct Target {
    /// Settings file of this tool, YAML
    #[bpaf(long, argument("FILE"), optional)]
    pub settings: Option<PathBuf>,
    /// Base URL of the platform's object API
    #[bpaf(long, argument("URL"), optional)]
    pub objects: Option<String>,
    /// Control address of any daemon
    #[bpaf(long, argument("IP:PORT"), optional)]
    pub control: Option<String>,
    /// File that contains the operator key
    #[bpaf(long, argument("FILE"), optional)]
    pub operator_key_file: Option<PathBuf>,
    /// File that contains the bearer token of the object API
    #[bpaf(long, argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Output format: text or json
    #[bpaf(long, argument("FORMAT"), optional)]
    pub output: Option<Output>,
    /// Time limit of each request, seconds
    #[bpaf(long, argument("SECONDS"), optional)]
    pub timeout: Option<u32>,
}

impl Target {
    /// options with those of `later` taking precedence
    #[must_use]
    pub fn overridden_by(&self, later: &Target) -> Target {
        Target {
            settings: later.settings.clone().or(self.settings.clone()),
            objects: later.objects.clone().or(self.objects.clone()),
            control: later.control.clone().or(self.control.clone()),
            operator_key_file: later
                .operator_key_file
                .clone()
                .or(self.operator_key_file.clone()),
            token_file: later.token_file.clone().or(self.token_file.clone()),
            output: later.output.or(self.output),
            timeout: later.timeout.or(self.timeout),
        }
    }
}
