//! Limits of workspaces over all daemons: a daemon's share, and the owner's ledger.
//!
//! A limit applies to all daemons together, and each of them sees only some of the traffic.
//! Every daemon tracks the level of one token bucket that stands for all of them: refilled
//! at the limit's rate, drained by its own spending and by the spending that its peers
//! report. Between two reports it may spend its share of that level, in proportion to its
//! demand. A fixed fraction is split evenly, so that a daemon without demand so far can
//! start. While shares are large against requests and reports recent, a workspace below its
//! limit is thus refused nowhere, however unevenly its callers are distributed, and one above
//! its limit is held to it by all daemons together. Until their next report, peers are
//! assumed to spend at the rate of the previous interval.
//! Peers that stop reporting are assumed to keep spending at the demand they last reported.
//!
//! Load patterns: one workspace sends many times its limit through a few daemons, while the
//! other workspaces stay below their limits and must not be refused; a small workspace sends
//! a large request to a daemon that rarely sees it.
//!
//! Where reports take seconds, one daemon keeps the [`Ledger`] of a limit and decides on every
//! request, or another one from a copy of it; shares are spent while neither can be asked. A [`Refusal`]
//! of theirs answers a daemon's further requests for a short time.

use std::time::Duration;

mod ledger;
mod limit;
#[expect(
    clippy::module_inception,
    reason = "the module is named for its central type"
)]
mod quota;
mod refusal;
mod timeliness;

pub use ledger::{Copied, Ledger};
pub use limit::{Limit, PeerSpending};
pub use quota::Quota;
pub use refusal::Refusal;
pub use timeliness::Timeliness;

/// fraction of the burst, or of a daemon's share of it, that suffices for a request of any size; the
/// level may then go below zero, and later requests wait until it has recovered
const LARGE_REQUEST_FRACTION: f64 = 0.4;

/// fraction of the burst that late requests leave to those that can still be in time
const RESERVED_FRACTION: f64 = 0.3;

/// shortest retry delay: a fraction of the interval between two peer reports
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
