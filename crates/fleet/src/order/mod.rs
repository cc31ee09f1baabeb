//! Decides whether an engine needs an order to load a model.
//!
//! Orders are level-triggered: the desired state is compared with the state that the engine
//! reports, so a lost or repeated order does no harm. An engine that checks fencing tokens
//! refuses orders of earlier holders of the lease itself. For one that does not, a new
//! holder waits until no order of its predecessor can arrive any more, and every holder
//! stops early enough for its last order to arrive before its lease expires.

mod decide;
mod term;

pub use decide::{DesiredState, Step, order};
pub use term::Term;
