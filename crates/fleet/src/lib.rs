//! Capacity planning, and the calls to the cloud that execute the plans.
//!
//! [`plan`] compares the existing VMs with those that the preset and the demand require and
//! returns actions. It does no I/O and reads no clock; what it has to keep between two plans
//! is in a [`State`]. [`order()`] decides whether an engine has to be ordered to load its model.
//! [`cost`] computes the price of generated tokens. [`cloud::Client`] calls the cloud API, and
//! [`Autoscaler`] combines planning and calls. [`zones`] plans for clouds that take a number of
//! VMs for each zone.
//!
//! One planner, the holder of a lease, acts for a service in all its data centres. VM names
//! are derived from the service and a slot below the ceiling. So a repeated start does not
//! create a second VM, and two planners together, whatever each of them knows, can't start
//! more VMs than the ceiling.

mod autoscaler;
pub mod cloud;
pub mod cost;
pub mod order;
mod plan;
mod state;
mod view;
pub mod zones;

pub use autoscaler::{Autoscaler, Failure, Input, Permit, Report};
pub use order::order;
pub use plan::{Action, Start, plan, slot_name};
pub use state::State;
pub use view::{Demand, Load, Pool, StoreStatus, View, pools};
