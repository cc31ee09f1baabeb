//! A simulated inference engine with continuous batching.
//!
//! One thread steps the batch: every step generates one token for each running stream
//! and takes longer with more of them and with prefill. The generated text is a function
//! of the prompt, see [`token`], so that tests can check it.

mod batch;
mod control;
mod delivery;
mod event_log;
mod kv;
mod options;
mod prefix_cache;
mod run;
mod server;
mod shared;
mod stream;
mod token;

pub use control::{Faults, Notice};
pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use prefix_cache::{BLOCK_WORDS, PrefixCache, block_hashes};
pub use run::Run;
pub use server::Server;
pub use token::{prompt_hash, token};
