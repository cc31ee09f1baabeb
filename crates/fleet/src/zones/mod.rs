//! Number of VMs to order in each zone and price class.
//!
//! For clouds that take a number of VMs for each service, zone and price class, and start and
//! stop VMs themselves. Reclaimable VMs serve the load. They are spread over the zones so that
//! the rest is sufficient when those of one zone are reclaimed. On-demand VMs replace
//! reclaimable ones that are not available, and are released when those are available again.
//!
//! Cases to handle, each replayed in `tests/zones.rs`:
//!
//! * All reclaimable VMs of a zone are reclaimed within seconds, and no new ones are available
//!   there, or anywhere, for a while.
//! * Those of a second zone are reclaimed while the first zone is still short of VMs, before
//!   on-demand VMs have started.
//! * On-demand VMs start while none are reclaimable. Seconds before they are ready, reclaimable ones are
//!   available again, and take as long to start.
//! * The load rises to a multiple within seconds and falls again.
//! * The cloud refuses orders, or does not respond.
//! * Engines prefill at three times the assumed rate, so that three times the VMs are ordered that their
//!   prefill needs. What the daemons learned of them is used instead.

mod demand;
mod history;
mod order;

pub use demand::{Demand, Peak, Timing};
pub use history::OrderHistory;
pub use order::{Constraints, Need, PoolOrder, VmCounts, Zone, orders};
