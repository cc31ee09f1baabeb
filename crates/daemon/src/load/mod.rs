//! Load reports and cache events of upstream VMs.
//!
//! Each VM of the data centre is polled by one daemon, by rendezvous hashing on
//! its name. The report goes to the local table in full and to the other daemons
//! as one coarse level per VM.

mod exchange;
mod poller;

pub use exchange::Exchange;
pub use poller::Poller;
