//! The configuration: one object, one order of changes.
//!
//! The declaration and the preset in force are in `configurations/current`.
//! Every change raises the revision by one and carries a random change id and
//! its author's words. Changes are conditional on the state they were made
//! for; of two that race, one gets a conflict that names the other. A
//! lost answer is settled by the change id, which later edits keep in a list.
//!
//! [`Watcher`] follows the object. [`diff`] and [`patch`] carry a change from
//! daemon to daemon without the whole body.

mod change;
mod delta;
mod revision;
mod watcher;

pub use change::{Outcome, Source, apply, read, use_preset};
pub use delta::{Delta, Mismatch, diff, patch};
pub use revision::{Revision, digest};
pub use watcher::{Timing, Watcher};

/// name of the object
pub const OBJECT: &str = "current";
