//! Requests in flight.
//!
//! A [`Journal`] holds a request's prompt and the tokens generated so far, by index.
//! Attempts on upstreams append to it, responses to callers read from it, and a hand-over
//! transfers it to another daemon. Tokens of an older attempt and tokens out of order are
//! rejected.
//!
//! Lock order: the [`Table`] of journals before the state of one journal; never the locks of
//! two journals together.

mod end;
mod record;
mod table;

pub use end::End;
pub use record::{Journal, Origin, Progress, Stale};
pub use table::Table;
