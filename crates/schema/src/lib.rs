//! Messages, configuration and settings of agateloom.
//!
//! The JSON Schema files under `schemas` are the source; `schemagen` generates the
//! modules of [`generated`] from them. This crate adds what a schema can't express:
//! checks of declarations and settings, YAML parsing that reports the location of an
//! error, the names of JSON-RPC methods, and macros that derive common sets of traits.

pub mod check;
mod derive;
mod entries;
#[rustfmt::skip]
pub mod generated;
pub mod method;
pub mod yaml;

pub use entries::Entries;
pub use generated::client;
pub use generated::cloud;
pub use generated::config;
pub use generated::engine;
pub use generated::failure;
pub use generated::journal;
pub use generated::member;
pub use generated::objects;
pub use generated::operator;
pub use generated::settings;
pub use generated::trace;
