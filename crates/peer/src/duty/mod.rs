//! Assignment of duties to members by rendezvous hashing.
//!
//! Each member gets a score for the duty's name; those with the highest scores hold the
//! duty. When a member leaves, only the duties that it held move. Members with the same
//! member list compute the same holders. While lists differ, a duty may have two holders or
//! none, and its work has to tolerate both.

mod holder;

pub use holder::{holders, holds};
