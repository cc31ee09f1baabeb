//! Settings of one proxy.

use bpaf::Bpaf;

use crate::builder::builder;

/// settings of one proxy
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(parser))]
pub struct Options {
    /// address to listen on, `ip:port`
    #[bpaf(long, argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    pub listen: String,
    /// address to forward to, `ip:port`
    #[bpaf(long, argument("ADDRESS"), fallback(String::new()))]
    pub to: String,
    /// address of the control API, `ip:port`; empty for none
    #[bpaf(long, argument("ADDRESS"), fallback(String::new()))]
    pub control: String,
    /// delay of each direction, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(0))]
    pub delay_ms: u64,
    /// bandwidth of each direction, bytes per second; 0 for no limit
    #[bpaf(long, argument("BYTES"), fallback(0))]
    pub bytes_per_second: u64,
    /// clients are at the far end of the link instead of the near end
    #[bpaf(long)]
    pub reverse: bool,
}

builder!(Options by parser {
    listen: String,
    to: String,
    control: String,
    delay_ms: u64,
    bytes_per_second: u64,
    reverse: bool,
});
