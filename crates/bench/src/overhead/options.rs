//! Command line of the overhead measurement.

use bpaf::Bpaf;

/// settings of the overhead measurement
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// numbers of concurrent streams to measure, separated by commas
    #[bpaf(long, argument("LIST"), fallback("1,50,200".to_owned()), display_fallback)]
    pub streams: String,
    /// rounds of direct calls and of calls through the daemon, each
    #[bpaf(long, argument("COUNT"), fallback(3), display_fallback)]
    pub rounds: u32,
    /// duration of a round, seconds
    #[bpaf(long, argument("SECONDS"), fallback(4), display_fallback)]
    pub seconds: u64,
    /// tokens generated for each stream
    #[bpaf(long, argument("TOKENS"), fallback(20), display_fallback)]
    pub tokens: u32,
    /// words in a prompt
    #[bpaf(long, argument("WORDS"), fallback(200), display_fallback)]
    pub words: u32,
}
