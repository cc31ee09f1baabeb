//! Small stand-ins of the systems that agateloom meets, for tests and trials.
//!
//! Nothing here ships. Each module has one server type that runs inside the
//! calling process and stops on drop; the binary `standin` starts one of them
//! by name. Their time is the wall clock's, since real processes talk to them.

pub mod cloud;
pub mod command;
pub mod engine;
pub mod http;
pub mod objects;
pub mod plain;
pub mod proxy;

mod builder;
mod pace;
mod port;

pub use pace::Pace;
pub use port::Port;
