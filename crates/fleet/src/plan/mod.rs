//! Selection of the VMs to start, drain and remove.
//!
//! A plan takes an inventory of the existing VMs, finds the cheapest mix of pools that
//! covers the need even after the loss of its largest zone, and derives actions from the
//! difference. VMs are started at once. Removals wait until the demand peak is
//! five minutes past, the replacement of the VM is live and the VM has finished its
//! requests.

mod action;
mod decide;
mod inventory;
mod mix;
mod need;
mod scale_down;

pub use action::{Action, Start};
pub use decide::plan;
pub(crate) use inventory::is_managed_name;
pub use inventory::slot_name;
