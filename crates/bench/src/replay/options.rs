//! The command line of a replay.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use macro_rules_attribute::apply;
use schema::settings::Policy;
use schema::value;

use super::Fault;

/// how results are printed
#[apply(value!)]
pub enum Output {
    /// a table for people
    Table,
    /// JSON for programs
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            _ => Err(format!("{name} is neither table nor json")),
        }
    }
}

/// settings of a replay
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// how the daemons choose an upstream VM: affinity, least or turns
    #[bpaf(long, argument("POLICY"), fallback(Policy::Affinity), display_fallback)]
    pub policy: Policy,
    /// policy to run before, for comparison; may be given several times
    #[bpaf(long, argument("POLICY"), many)]
    pub against: Vec<Policy>,
    /// what fails: none, reclaim, zone or freeze
    #[bpaf(long, argument("NAME"), fallback(Fault::None), display_fallback)]
    pub faults: Fault,
    /// notice of a reclaim, seconds
    #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
    pub notice: u32,
    /// draws the words of the prompts, the daemons called and the VM that fails
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// table or json
    #[bpaf(long, argument("FORM"), fallback(Output::Table))]
    pub output: Output,
    /// factor on the rate of arrivals
    #[bpaf(long, argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// file to write the engines' runs to, one JSON line each
    #[bpaf(long, argument("FILE"), optional)]
    pub record: Option<PathBuf>,
    /// file of the trace; its outcomes are beside it
    #[bpaf(positional("TRACE"))]
    pub trace: PathBuf,
}
