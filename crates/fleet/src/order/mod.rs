//! Whether an engine has to be given an order.
//!
//! Orders are level-triggered: the wanted state is compared with the state read
//! back, so a lost or repeated order does no harm. An engine that checks fencing
//! numbers refuses a former holder by itself. For one that does not, a new holder
//! waits until no order of its predecessor can still arrive; and every holder
//! stops so early that its own last order arrives before its lease lapses.

mod decide;
mod term;

pub use decide::{Step, Wanted, order};
pub use term::Term;
