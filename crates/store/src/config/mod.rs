//! The configuration: one object whose revisions are totally ordered.
//!
//! The declaration and the preset in force are in `configurations/current`.
//! Every change raises the revision by one and has a random change id and the
//! name that its author gave. Changes are conditional on the state they were
//! made for; of two concurrent changes one gets a conflict that names the other.
//! If the response to a change is lost, its id shows whether the change took
//! effect: the object lists the ids of earlier edits.
//!
//! [`Watcher`] reports new revisions. With [`diff`] and [`patch`], daemons send
//! each other a change instead of the complete declaration.

mod change;
mod delta;
mod revision;
mod watcher;

pub use change::{Options, Outcome, apply, read, select_preset};
pub use delta::{Delta, Mismatch, diff, patch};
pub use revision::{Revision, digest};
pub use watcher::{Timing, Watcher};

/// name of the configuration's object
pub const OBJECT_NAME: &str = "current";
