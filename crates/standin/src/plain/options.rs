//! Settings of one plain service.

use bpaf::Bpaf;

use crate::builder::builder;

/// settings of one plain service
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(parser))]
pub struct Options {
    /// address to listen on, `ip:port`
    #[bpaf(long, argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    pub listen: String,
    /// time between the execution of a call and its response, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(0))]
    pub delay_ms: u64,
}

builder!(Options by parser {
    listen: String,
    delay_ms: u64,
});
