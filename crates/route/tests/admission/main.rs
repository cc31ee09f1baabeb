//! Replays of load patterns in which callers compete for scarce capacity.

mod cluster;
mod regions;
mod restart;
mod returning;
mod setup;
mod shares;
mod surge;
