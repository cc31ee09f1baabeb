//! Settings of one engine.

use bpaf::Bpaf;
use schema::config::Fencing;

use crate::builder::builder;

/// settings of one engine
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(parser))]
pub struct Options {
    /// address to listen on, `ip:port`
    #[bpaf(long, argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    pub listen: String,
    /// model loaded at the start; empty to serve any
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub model: String,
    /// streams that generate at the same time
    #[bpaf(long, argument("COUNT"), fallback(16))]
    pub slots: u32,
    /// time of a step, microseconds
    #[bpaf(long, argument("MICROS"), fallback(20_000))]
    pub step_us: u64,
    /// time added to a step by each running stream, microseconds
    #[bpaf(long, argument("MICROS"), fallback(100))]
    pub running_us: u64,
    /// time to prefill a token, microseconds
    #[bpaf(long, argument("MICROS"), fallback(50))]
    pub prefill_us: u64,
    /// most tokens prefilled in one step
    #[bpaf(long, argument("TOKENS"), fallback(512))]
    pub prefill_chunk: u32,
    /// blocks of 16 words that the prefix cache holds
    #[bpaf(long, argument("BLOCKS"), fallback(4096))]
    pub cache_blocks: usize,
    /// time a stream runs on without a reader, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(5_000))]
    pub grace_ms: u64,
    /// time a finished stream can be read again, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(30_000))]
    pub keep_ms: u64,
    /// longest age of a load report, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(300))]
    pub lag_ms: u64,
    /// delay of cache events, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(500))]
    pub event_lag_ms: u64,
    /// share of cache events that get lost, percent
    #[bpaf(long, argument("PERCENT"), fallback(5))]
    pub gap_percent: u32,
    /// seed of the losses
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
    /// size of the KV cache of one token, bytes
    #[bpaf(long, argument("BYTES"), fallback(1_024))]
    pub kv_bytes_per_token: u64,
    /// rate of all KV exports together, bytes per second; 0 for no limit
    #[bpaf(long, argument("BYTES"), fallback(100_000_000))]
    pub kv_bytes_per_second: u64,
    /// time to load a model, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(2_000))]
    pub load_ms: u64,
    /// `checked` to refuse orders with an old fencing number, or `ignored`
    #[bpaf(long, argument("MODE"), fallback(Fencing::Checked))]
    pub fencing: Fencing,
}

builder!(Options by parser {
    listen: String,
    model: String,
    slots: u32,
    step_us: u64,
    running_us: u64,
    prefill_us: u64,
    prefill_chunk: u32,
    cache_blocks: usize,
    grace_ms: u64,
    keep_ms: u64,
    lag_ms: u64,
    event_lag_ms: u64,
    gap_percent: u32,
    seed: u64,
    kv_bytes_per_token: u64,
    kv_bytes_per_second: u64,
    load_ms: u64,
    fencing: Fencing,
});
