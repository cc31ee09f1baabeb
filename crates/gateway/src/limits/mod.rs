//! Charges requests to the limits of workspaces.
//!
//! Two ways, both decided in `route::quota`:
//!
//! - Each daemon spends its share of a limit, derived from the reports of all daemons. This takes no
//!   call, but shares divide a level that is as old as the reports.
//! - In deployments of several zones, where reports take seconds, each limit has an owner: one
//!   daemon, chosen by the name of the workspace, that decides on every request. Daemons ask it
//!   before they send the request on. It opens its ledger at the level known from the reports.
//!
//! While the owner does not answer, or daemons differ on who it is, shares are spent; the owner
//! subtracts what is reported beyond its grants.
//!
//! Load pattern: VMs are full, and callers repeat what was refused. A request that certainly did not
//! run is refunded; else its repeats use up the limit without any work being done.

mod charge;
mod configure;
mod message;
mod owners;

pub use charge::{
    CHARGE_METHOD, REFUND_METHOD, charge, connect_to_owners, refund, refund_peer, rule_for_peer,
};
pub use configure::configure;
pub use message::{Charge, Ruling};
pub use owners::{Owner, Owners, choose};
