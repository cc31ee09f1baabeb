//! Measures the overhead of a daemon over a direct engine call.
//!
//! Rounds of direct calls and of calls through one daemon alternate, so that both run under
//! the same machine load. The engine's step time is part of both.

mod load;
mod options;
mod run;
mod sample;

pub use options::{Options, options};
pub use run::run;
