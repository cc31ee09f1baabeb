//! Limits of a workspace over all daemons: tokens per second and requests in flight.
//!
//! Each daemon admits within its share. Shares follow demand: every daemon spreads its
//! own demand, hears the sum of the others', and takes the limit in proportion, less a
//! part that is split evenly so that a daemon without demand so far can start at once.
//! A daemon that hears nothing for some seconds keeps the share it had last. The sum of
//! the others' demand must go on counting a daemon that was cut off until it is known
//! to be gone, or the rest would take up what it still spends.
//!
//! Tokens are reserved at admission and settled at the end; a bucket may go into debt
//! by one request, which later ones wait for.
//!
//! Lock order: the map of workspaces, then one workspace's account.

mod account;
mod bucket;
mod demand;
mod limits;
mod permit;

pub use demand::Demand;
pub use limits::Limits;
pub use permit::Permit;
