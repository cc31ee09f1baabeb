//! Move of a service's requests to another software version within a given time.
//!
//! Load patterns, each replayed in `tests/rollout`:
//!
//! * Some responses of the new version are failures or are several times slower: from the start, after
//!   some seconds, only under load, or on one route only. Each daemon sends the new version a few
//!   requests a second, too few to decide on alone.
//! * Both versions fail half of their requests for seconds, and some VMs of either version are slow,
//!   crash or have cold caches, while the new version is as good as the old one.
//!
//! The new version first gets a canary share of the requests at a few VMs, so that each of these has the
//! load of an old VM. All daemons sum their counts ([`Evidence`]) and compare the versions over the same
//! seconds and the same route. The comparison weighs the explanation that the new version is bad
//! against the one that some VMs are: a bad version has bad responses at all of its VMs. A version that
//! is not found bad gets all requests in a few steps, as late as the deadline permits.
//!
//! Each daemon evaluates [`decide`] on the summed evidence, so that a stop needs no leader. A stop is
//! final: the caller keeps it and passes it in as [`View::is_stopped`].

mod canary;
mod compare;
mod decide;
mod decision;
mod evidence;
mod likelihood;
mod order;
mod plan;
mod rate;
mod sample;
mod view;

pub use canary::{canaries, is_target};
pub use decide::decide;
pub use decision::{Decision, Fault, Finding, State, Verdict};
pub use evidence::Evidence;
pub use order::{Bounds, Order};
pub use sample::{MAX_RATIO, Sample};
pub use view::{Remaining, View};
