//! Input of a plan.

mod demand;
mod pool;
mod snapshot;

pub use demand::{Demand, Load};
pub use pool::{Pool, pools};
pub use snapshot::{StoreStatus, View};
