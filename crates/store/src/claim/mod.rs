//! Claims: a request under an idempotency key runs at most once.
//!
//! Before a request runs, its key is entered in an object of the store by a
//! conditional update, with a digest of the request, the owner's instance and a
//! random nonce. The answer is entered after. Whoever finds an entry without an
//! answer does not run the request: its owner may have.
//!
//! The object is named by the workspace and a hash of the key alone, not by the
//! hour. So all daemons look in one place whatever their clocks show, and one
//! conditional update decides. Old entries leave with later updates: finished ones
//! after [`KEPT`], others after [`KEPT_UNFINISHED`], by the wall clock of the
//! daemon that writes. A repeat within an hour is recognised as long as wall clocks
//! differ by less than an hour.
//!
//! Requests of one shard in one daemon share an update ([`Claims`] gathers
//! them), which is sent as a merge patch, so it carries the changed entries only. Two
//! daemons that change one shard collide, read again and decide anew. Entries
//! are recognised by their nonce, so lost answers are settled the same way.
//!
//! An object holds a megabyte, so hours of claims do not fit few shards, and
//! claims spread over many shards share no updates. Therefore a shard that has grown
//! moves its finished claims to a segment: an object of its own, never changed, listed in
//! the shard by the same update that takes the claims out. A daemon that decides on a
//! shard has read the keys of all segments that this version of the shard lists, so
//! the conditional update covers them too.

mod answer;
mod cache;
mod claims;
mod cold;
mod key;
mod op;
mod page;
mod queue;
mod writer;

pub use answer::Outcome;
pub use claims::{Claim, Claims, Options};
pub use key::{Fingerprint, Held, shard};
pub use page::{KEPT, KEPT_UNFINISHED};
