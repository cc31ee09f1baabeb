//! Stand-ins: simulated versions of the external systems that agateloom works with, for
//! tests and benchmarks.
//!
//! Not part of any release. Each module has one server type that runs inside the
//! calling process and stops on drop; the binary `standin` starts one of them
//! by name. They use the wall clock, since real processes connect to them.

pub mod cloud;
pub mod command;
pub mod engine;
pub mod http;
pub mod objects;
pub mod plain;
pub mod proxy;

mod builder;
mod rate_limiter;
mod reserved_port;

pub use rate_limiter::RateLimiter;
pub use reserved_port::ReservedPort;
