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
//! While the owner does not answer, its deputy is asked, the next one in the same order, which goes on
//! from the owner's last copy of its ledger; both subtract what is reported beyond their grants. While neither answers, or
//! daemons differ on who they are, shares are spent.
//!
//! Load pattern: the traffic of a workspace jumps, and a second later the owner of its limit is lost.
//!
//! Load pattern: VMs are full, and callers repeat what was refused. A request that certainly did not
//! run is refunded; else its repeats use up the limit without any work being done.

mod charge;
mod configure;
mod deputy;
mod message;
mod owners;
mod refund;

pub use charge::{CHARGE_METHOD, charge, connect_to_owners, rule_for_peer};
pub use configure::configure;
pub use deputy::{COPY_METHOD, restore_ledger};
pub use message::{Charge, LedgerCopy, Ruling};
pub use owners::{Owner, Owners, ranked};
pub use refund::{REFUND_METHOD, refund, refund_peer};
