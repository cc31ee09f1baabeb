//! Which members hold a duty.
//!
//! Rendezvous hashing: each member scores the duty's name, and the highest
//! scores hold it. A member that goes moves only the duties it held. Members
//! with the same view name the same holders; while views differ a duty may
//! have two holders or none, so duties have to bear both.

mod holder;

pub use holder::{holders, holds};
