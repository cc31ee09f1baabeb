//! Reports between daemons: loads, demand and usage counts.
//!
//! A report holds current values and totals since the sender's start, so that lost or repeated
//! messages do no harm; only the prefills of shared prompt parts are sent once and may be lost.
//! A small number of daemons report to each other directly. In larger deployments, a daemon
//! reports to the two delegates of its zone, one of which answers with the sum of all other
//! daemons; delegates exchange the sums of their zones ([`Topology`]). So the number of messages
//! grows with the number of daemons and of pairs of zones, and a report reaches all in three steps.

mod entries;
mod exchange;
mod following;
mod interval;
mod join;
mod report;
mod reporter;
mod reports;
mod shares;
mod state;
mod topology;

pub use exchange::exchange_reports;
pub use following::follow_watchers;
pub use interval::{counts_age, report_interval};
pub use report::{Report, Scope, Spending};
pub use reports::Reports;
pub use state::Peers;
pub use topology::{Peer, SINGLE_GROUP, Topology};
