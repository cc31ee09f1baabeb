//! Decisions on capacity, and the calls that carry them out.
//!
//! [`plan`] compares the VMs that run with those that the preset and the load
//! ask for and gives actions. It does no I/O and reads no clock; what it has
//! to remember between two plans is in a [`State`]. [`order`] decides whether
//! an engine has to be told its model again. [`cost`] prices generated tokens.
//! [`cloud::Client`] calls the cloud API and [`Steward`] joins all of it.
//!
//! One planner acts for a service over all its data centres, under a lease.
//! Names of VMs are derived from the service and a slot below the ceiling, so
//! that a repeated start is no second VM and two planners together, whatever
//! each knows, can't have more VMs than the ceiling.

pub mod cloud;
pub mod cost;
pub mod order;
mod plan;
mod state;
mod steward;
mod view;
pub mod zones;

pub use order::order;
pub use plan::{Action, Start, plan, slot_name};
pub use state::State;
pub use steward::{Failure, Input, Permit, Report, Steward};
pub use view::{Demand, Load, Place, Store, View, places};
