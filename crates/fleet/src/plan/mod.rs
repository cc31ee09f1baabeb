//! Which VMs to start, drain and remove.
//!
//! A plan first takes stock of what runs, then finds the cheapest mix of
//! places that serves the need even after the loss of its largest zone, and
//! last acts on the difference. Starts come at once. Removals wait: until the
//! peak of demand is some minutes past, until what replaces a VM is live, and
//! until the VM has finished its requests.

mod action;
mod decide;
mod mix;
mod need;
mod shrink;
mod stock;

pub use action::{Action, Start};
pub use decide::plan;
pub(crate) use stock::is_own;
pub use stock::slot_name;
