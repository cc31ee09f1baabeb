//! Command line of a replay.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use macro_rules_attribute::apply;
use schema::settings::Policy;
use schema::value;

use super::Fault;

/// format of the printed results
#[apply(value!)]
pub enum Output {
    /// a table to read
    Table,
    /// JSON to parse
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            _ => Err(format!(
                "unknown output format {name}; expected table or json"
            )),
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
    /// baseline policy to run first, for comparison; may be given several times
    #[bpaf(long, argument("POLICY"), many)]
    pub against: Vec<Policy>,
    /// fault to inject: none, reclaim, zone or freeze
    #[bpaf(long, argument("NAME"), fallback(Fault::None), display_fallback)]
    pub faults: Fault,
    /// notice time of a reclaim, seconds
    #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
    pub notice: u32,
    /// seed for the words of the prompts, the daemons called and the VMs that fail
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// output format: table or json
    #[bpaf(long, argument("FORM"), fallback(Output::Table))]
    pub output: Output,
    /// factor on the arrival rate
    #[bpaf(long, argument("FACTOR"), fallback(1.0), display_fallback)]
    pub speed: f64,
    /// file to write the engines' runs to, one JSON line each
    #[bpaf(long, argument("FILE"), optional)]
    pub record: Option<PathBuf>,
    /// trace file; its outcomes file must be in the same folder
    #[bpaf(positional("TRACE"))]
    pub trace: PathBuf,
}
