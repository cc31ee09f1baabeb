//! Limits of a workspace over all daemons: tokens per second and requests in flight.
//!
//! Each daemon admits within its share. Shares follow demand: every daemon reports its
//! local demand, receives the total of its peers, and takes the limit in proportion, except
//! for a fraction that is split evenly so that a daemon without demand so far can start at
//! once. A daemon that receives no report for some seconds keeps its last share. The total
//! of the peers must keep counting a daemon that was cut off until it is known to have
//! terminated; otherwise the others would take over the share that it still spends.
//!
//! Tokens are reserved at admission and settled at the end. One request may take the bucket
//! below zero; later requests wait until it has recovered.
//!
//! Lock order: the map of workspaces, then the account of one workspace.

mod account;
mod bucket;
mod demand;
mod limits;
mod permit;

pub use demand::Demand;
pub use limits::Limits;
pub use permit::Permit;
