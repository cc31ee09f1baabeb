//! Settings of the measurement.

use bpaf::Bpaf;

/// settings of the measurement
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// numbers of streams at the same time
    #[bpaf(long, argument("LIST"), fallback("1,50,200".to_owned()), display_fallback)]
    pub streams: String,
    /// rounds of each kind
    #[bpaf(long, argument("COUNT"), fallback(3), display_fallback)]
    pub rounds: u32,
    /// time of a round, seconds
    #[bpaf(long, argument("SECONDS"), fallback(4), display_fallback)]
    pub seconds: u64,
    /// tokens of an answer
    #[bpaf(long, argument("TOKENS"), fallback(20), display_fallback)]
    pub tokens: u32,
    /// words of a prompt
    #[bpaf(long, argument("WORDS"), fallback(200), display_fallback)]
    pub words: u32,
}
