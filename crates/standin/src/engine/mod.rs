//! A simulated inference engine with continuous batching.
//!
//! One thread steps the batch: every step generates one token for each running stream
//! and takes longer with more of them and with prefill. The generated text is a function
//! of the prompt, see [`token`], so that tests can check it.

mod batch;
mod cache;
mod control;
mod delivery;
mod event_log;
mod kv;
mod options;
mod run;
mod server;
mod shared;
mod stream;
mod token;

pub use cache::{BLOCK_WORDS, Cache, block_hashes};
pub use control::{Faults, Notice};
pub(crate) use options::parser;
pub use options::{Builder, Options};
pub use run::Run;
pub use server::Server;
pub use token::{prompt_hash, token};
