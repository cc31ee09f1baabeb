//! Messages and settings of agateloom.
//!
//! The files under `schemas` are the source; `schemagen` writes the modules of
//! [`generated`] from them. This crate adds what a schema can't say: the checks
//! on a declaration, the reading of YAML with the place of a mistake, and the
//! macros that derive common sets of traits.

pub mod check;
mod derive;
#[rustfmt::skip]
pub mod generated;
pub mod method;
pub mod text;

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
