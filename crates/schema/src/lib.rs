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

pub use generated::{client, cloud, config, engine, failure, journal, objects, operator, settings};
