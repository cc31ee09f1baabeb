//! Runs whole worlds of agateloom on one machine: real daemons among stand-ins.
//!
//! [`world`] starts the processes and writes their settings, [`client`] calls
//! them as callers do and checks the answers, [`process`] starts, stops and
//! measures single processes. [`demo`], [`overhead`], [`trace`], [`replay`] and [`soak`]
//! are the commands.

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
