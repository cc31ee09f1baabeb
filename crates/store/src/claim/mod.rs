//! Claims: a request with an idempotency key runs at most once.
//!
//! Before a request runs, a claim of its key is added to an object of the store,
//! a shard, by a conditional update. The claim contains a digest of the request,
//! the owner's instance and a random nonce. The response is added to it
//! afterwards. If a key has a claim without a response, its request does not run
//! again, because the owner may have run it.
//!
//! The name of the shard depends on the workspace and a hash of the key, not on
//! the time. So all daemons use the same object for a key whatever their clocks
//! show, and one conditional update decides. Later updates remove old claims:
//! finished ones after [`FINISHED_RETENTION`], others after [`UNFINISHED_RETENTION`], by the
//! wall clock of the daemon that writes. A repeat within an hour is recognised as
//! long as wall clocks differ by less than an hour.
//!
//! Operations on one shard in one daemon are batched into one update by
//! [`Claims`]. The update is a merge patch, so it contains the changed claims
//! only. If two daemons change a shard at once, one of them gets a conflict, reads the
//! shard again and repeats its batch. Claims are recognised by their nonce, so a lost
//! response to an update is handled in the same way.
//!
//! An object is limited to a megabyte, so hours of claims do not fit in a few
//! shards, and claims spread over many shards can't be batched. Therefore the
//! finished claims of a large shard are moved to a segment: a separate, immutable
//! object, which the update that removes the claims from the shard adds to the shard's list.
//! Before a daemon decides on a shard, it has read the keys of all segments that
//! this version of the shard lists, so the conditional update covers them too.

mod cache;
mod claims;
mod key;
mod op;
mod queue;
mod response;
mod segment;
mod shard;
mod writer;

pub use claims::{Claim, Claims, Options};
pub use key::{Fingerprint, Handle, shard_name};
pub use response::Response;
pub use shard::{FINISHED_RETENTION, UNFINISHED_RETENTION};
