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
    /// model loaded at the start; empty to accept any model name
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub model: String,
    /// maximum number of streams that generate at the same time
    #[bpaf(long, argument("COUNT"), fallback(16))]
    pub slots: u32,
    /// duration of a step, microseconds
    #[bpaf(long, argument("MICROS"), fallback(20_000))]
    pub step_us: u64,
    /// time added to a step by each running stream, microseconds
    #[bpaf(long, argument("MICROS"), fallback(100))]
    pub running_us: u64,
    /// time to prefill a token, microseconds
    #[bpaf(long, argument("MICROS"), fallback(50))]
    pub prefill_us: u64,
    /// maximum number of tokens prefilled in one step
    #[bpaf(long, argument("TOKENS"), fallback(512))]
    pub prefill_chunk: u32,
    /// capacity of the prefix cache, blocks of 16 words
    #[bpaf(long, argument("BLOCKS"), fallback(4096))]
    pub cache_blocks: usize,
    /// time after which a stream without a reader is cancelled, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(5_000))]
    pub grace_ms: u64,
    /// time for which an ended stream can still be read, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(30_000))]
    pub keep_ms: u64,
    /// maximum age of a load report, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(300))]
    pub lag_ms: u64,
    /// delay before a cache event is published, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(500))]
    pub event_lag_ms: u64,
    /// share of cache events that are lost, percent
    #[bpaf(long, argument("PERCENT"), fallback(5))]
    pub gap_percent: u32,
    /// seed of the random choice of lost cache events
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
    /// size of the KV cache of one token, bytes
    #[bpaf(long, argument("BYTES"), fallback(1_024))]
    pub kv_bytes_per_token: u64,
    /// total rate of all KV cache exports, bytes per second; 0 for no limit
    #[bpaf(long, argument("BYTES"), fallback(100_000_000))]
    pub kv_bytes_per_second: u64,
    /// time to load a model, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(2_000))]
    pub load_ms: u64,
    /// `checked` to refuse orders with an outdated fencing token, or `ignored`
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
