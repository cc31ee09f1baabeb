//! What is asked of the table, and what it answers.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::engine::Usage;
use schema::{data, value};
use tokio::time::Instant;

use super::Permit;
use crate::prefix::BLOCK_TOKENS;
use crate::retry::Kind;

/// a request that needs an upstream VM
#[apply(value!)]
pub struct Ask<'a> {
    /// name of the service
    pub service: &'a str,
    /// hashes of the prompt's blocks
    pub blocks: &'a [u64],
    /// tokens of the prompt
    pub prompt_tokens: u32,
    /// tokens generated before, which are prefilled too
    pub prior_tokens: u32,
    /// tokens to generate in all
    pub max_tokens: u32,
    /// 0 lowest, 9 highest
    pub priority: u8,
    /// names of the VMs that already failed this request
    pub avoid: &'a [String],
    /// when the answer is of no more use
    pub deadline: Instant,
    /// target for the first token
    pub first_token: Duration,
}

/// the VM chosen for a request
#[derive(Debug)]
pub struct Pick {
    /// name of the VM
    pub vm: String,
    /// `ip:port` of what it serves
    pub address: String,
    /// estimated time to the first token
    pub estimate: Duration,
    /// the request crosses the link between regions
    pub link: bool,
    /// counts the request as in flight until it is given back
    pub permit: Permit,
}

/// how a request ended on its VM
#[apply(data!)]
pub enum Outcome {
    /// a model engine answered
    Done {
        /// the engine's own count of tokens
        usage: Usage,
    },
    /// a plain service answered
    Answered,
    /// the attempt failed
    Failed(Kind),
    /// it was not sent, or was cancelled by the caller
    Cancelled,
}

impl Ask<'_> {
    /// returns the tokens to prefill if nothing is cached
    pub fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.prior_tokens)
    }

    /// returns the tokens of a number of leading blocks
    pub(super) fn block_tokens(&self, blocks: usize) -> u32 {
        let tokens = u32::try_from(blocks * BLOCK_TOKENS).unwrap_or(u32::MAX);
        tokens.min(self.prompt_tokens)
    }
}
