//! Load reports and cache events of upstream VMs.
//!
//! Each VM of the data centre is polled by one daemon, by rendezvous hashing on
//! its name. The report goes to the own table in full and to the other daemons
//! as one coarse level per VM.

mod poller;
mod spread;

pub use poller::Poller;
pub use spread::Spread;
