//! Runs complete agateloom deployments on one machine: real daemons with stand-ins for all
//! external systems.
//!
//! [`world`] starts the processes and writes their settings, [`client`] sends requests
//! as callers do and reads the responses, [`process`] starts, stops and measures single
//! processes. [`demo`], [`overhead`], [`trace`], [`replay`] and [`soak`] are the commands.

pub mod client;
pub mod command;
pub mod demo;
pub mod overhead;
pub mod process;
pub mod replay;
pub mod soak;
pub mod trace;
pub mod world;

mod poll;

pub use poll::{eventually, poll_until};
