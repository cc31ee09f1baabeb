//! Reports between daemons: loads, demand and usage counts.
//!
//! A report holds current values and totals since the sender's start, so that lost or repeated
//! messages do no harm; only the prefills of shared prompt parts are sent once and may be lost.
//! A small number of daemons report to each other directly. In larger deployments, only the
//! daemons of a zone do, and one daemon of each zone exchanges the sums of the zones and forwards
//! the sum of the remote zones ([`Topology`]), so that the number of messages grows with the size
//! of a zone and the number of zones, not with their product.

mod entries;
mod exchange;
mod following;
mod join;
mod report;
mod reports;
mod topology;

pub use exchange::{Peers, counts_age, exchange_reports, report_interval};
pub use following::follow_watchers;
pub use report::{Report, Scope, Spending};
pub use reports::Reports;
pub use topology::{Peer, Topology};
