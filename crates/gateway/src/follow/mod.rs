//! The configuration, the upstream VMs and the requests for roll-outs, as the object API has them.
//!
//! One daemon of a group watches the object API for changes; the others receive the same state
//! from it (`crate::relay`) and read the object API only at their start, if no peer answers, and
//! when what they have received is too old. A watch that fails for any reason is followed by a list, since
//! changes made in between may no longer be in the store's history. So is a watch after the
//! store was restored from a copy, since its revisions belong to another history.

mod backoff;
mod config;
mod departed;
mod relayed;
mod restoration;
mod rollouts;
mod vms;

pub use config::config;
pub use departed::Departed;
pub use relayed::apply_reply;
pub use rollouts::rollouts;
pub use vms::vms;

use std::time::Duration;

use tokio::time::Instant;

/// interval between two checks of whether what was received is too old
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// time up to which a watch without events proves that there were none: the store ends it after
/// `wait`, so a response that arrives later was delayed on the way
fn confirmed_until(requested_at: Instant, responded_at: Instant, wait: Duration) -> Instant {
    if responded_at >= requested_at + wait {
        requested_at + wait
    } else {
        requested_at
    }
}
