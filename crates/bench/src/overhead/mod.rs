//! What a daemon adds to a direct call of an engine, in one run.
//!
//! Rounds of direct calls and of calls through one daemon alternate, so that
//! both see the same machine. The engine's step time is part of both.

mod load;
mod options;
mod run;
mod sample;

pub use options::{Options, options};
pub use run::run;
