//! A model engine that batches continuously and generates words.
//!
//! One thread steps the whole batch: every step gives one token to each running
//! stream, takes longer with more of them, and is delayed by prefill. Answers are
//! a function of the prompt, see [`token`], so that a judge can check them.

mod batch;
mod cache;
mod control;
mod feed;
mod journal;
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
