//! Small stand-ins of the systems that agateloom meets, for tests and trials.
//!
//! Nothing here ships. Each module has one server type that runs inside the
//! calling process; the binary `standin` starts one of them by name.

pub mod cloud;
pub mod engine;
pub mod objects;
pub mod plain;
pub mod proxy;
