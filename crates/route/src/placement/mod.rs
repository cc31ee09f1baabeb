//! Selection of an upstream VM from the requests that this daemon and its peers have sent.
//!
//! Load reports from engines arrive late and each one is billed, so the balancer counts what
//! was sent: requests in flight, prompt tokens waiting for prefill, and which VM has which
//! prompt parts cached. A prompt is a sequence of parts, each with an id and a number of
//! tokens. Peers add their counts. The expected time to the first token is computed from
//! these and compared over all VMs of the service.
//!
//! Load patterns, each replayed in `tests/placement`:
//!
//! * Many prompts begin with the same long part. Daemons report to each other which VM
//!   prefills which parts. Until the reports arrive, the VM that rendezvous hashing assigns
//!   to the part is preferred, so that daemons without reports send it to the same VM.
//! * One prompt makes up much of the traffic. Its preferred VM fills up until the expected
//!   time there exceeds that of a second prefill, and another VM is used.
//! * A VM fails some of its requests, or stops responding while it is still listed. Failures
//!   raise its cost. A VM without activity while it has requests in flight is chosen only if
//!   there is no other.
//! * Load reports between many daemons arrive late. If each daemon chose the VM that was least
//!   busy in the last report, all would choose the same one and avoid those that have become
//!   idle since. So the prefill of reported load is assumed to continue, and requests are spread
//!   over VMs whose expected times hardly differ.
//! * The same between tens of daemons, whose reports are a second old: what all of them send meanwhile is
//!   assumed to fill the VMs up evenly (`levels`).
//! * Requests wait longer than the reports show. What they wait beyond the expected time is measured and
//!   added to it (`excess`).
//! * The load exceeds what the VMs can serve in time. A request whose expected time exceeds
//!   its limit is refused at once, with the time until capacity is expected.
//! * A VM refuses requests and states for how long it wants none. It gets none for that time, and
//!   if all VMs do so, callers are refused at once until the first one is open again.
//! * A VM states how many requests a second it accepts from all daemons together. This daemon sends it
//!   its part of that ([`crate::notice::share`]), without a burst, and the rest goes to other VMs.
//! * A VM has refused another daemon and wants no requests from it for a time. It is used less, since
//!   it may refuse this daemon as well.
//! * A service moves to another version of its software, which may be bad. A share of the requests goes
//!   to some of the new VMs, the others stay at the old ones ([`Split`]). A version that is stopped gets none;
//!   a version whose VMs all refuse connections is replaced by the other one.
//! * Kinds with long objectives fill the VMs until urgent kinds with short objectives miss
//!   theirs. A kind is accepted only while the more urgent ones would be in time as well.
//! * Engines prefill at three times the assumed rate, so that requests which they could serve in time
//!   are refused while VMs are lost. Their times are learned from responses (`learner`).
//! * Callers that were refused come back as told, and are refused again. They go ahead of new
//!   requests of their kind, and what can't respond before its caller gives up is not sent.
//! * One region has lost its VMs and the other has room. A VM within the limit is preferred to a
//!   nearer one beyond it, and a part of the requests goes to the other region (`spill`).
//! * VMs that hold a popular part are busy while others are idle. An idle one fetches the part from
//!   a holder where that is clearly faster than both alternatives (`transfer`).
//! * Short prompts wait behind long ones at an engine, and are late. Those with the shorter objective are
//!   prefilled first (`urgency`).
//! * A VM is preferred because it holds a prompt, and the request is late there while another VM would
//!   serve it in time. A VM is preferred only while it is in time.
//! * A sixth of the VMs runs 2.5 times slower for 600 ms, then others do. Observed times raise the expected
//!   time of a VM until the observation has faded (`speed`).

mod admission;
mod backlog;
mod balancer;
mod candidate;
mod candidates;
mod choose;
mod completion;
mod cost;
mod engine;
mod entry;
mod excess;
mod health;
mod learner;
mod learning;
mod levels;
mod load;
mod member;
mod peer_loads;
mod plain;
mod popularity;
mod prefix_cache;
mod request;
mod returns;
mod speed;
mod spill;
mod split;
mod statements;
mod transfer;
mod urgency;

pub use admission::{Caller, Kind, plain_time_limit, retry_after, time_limit};
pub use balancer::Balancer;
pub use completion::{Completion, Outcome};
pub use engine::Timing;
pub use learner::{Measurement, Sample};
pub use load::{Load, Rate, Work};
pub use member::Member;
pub use prefix_cache::Prefill;
pub use request::{Choice, Distance, Fetch, Full, Pick, Request, TimeLimit};
pub use returns::{Refused, Returns};
pub use speed::Slowness;
pub use split::{Split, Target};
pub use transfer::Transfer;
pub use urgency::engine_priority;
