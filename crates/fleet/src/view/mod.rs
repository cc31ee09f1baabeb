//! Input of a plan.

mod demand;
mod place;
mod snapshot;

pub use demand::{Demand, Load};
pub use place::{Place, places};
pub use snapshot::{StoreStatus, View};
