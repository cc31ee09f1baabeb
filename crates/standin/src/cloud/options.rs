//! Settings of one simulated cloud.

use bpaf::Bpaf;

use crate::builder::builder;

/// settings of one simulated cloud
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(parser))]
pub struct Options {
    /// address to listen on, `ip:port`
    #[bpaf(long, argument("ADDRESS"), fallback("127.0.0.1:0".to_owned()))]
    pub listen: String,
    /// delay with which the list of VMs shows changes, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(1_000))]
    pub lag_ms: u64,
    /// time from the start request to the live VM, milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(2_000))]
    pub start_ms: u64,
    /// run an engine for each started VM
    #[bpaf(long)]
    pub spawn_engines: bool,
    /// default price of a reclaimable VM, millionths of the currency unit per hour
    #[bpaf(long, argument("MICROS"), fallback(300_000))]
    pub reclaimable_micros: u64,
    /// default price of an on-demand VM, millionths of the currency unit per hour
    #[bpaf(long, argument("MICROS"), fallback(1_000_000))]
    pub on_demand_micros: u64,
}

builder!(Options by parser {
    listen: String,
    lag_ms: u64,
    start_ms: u64,
    spawn_engines: bool,
    reclaimable_micros: u64,
    on_demand_micros: u64,
});
