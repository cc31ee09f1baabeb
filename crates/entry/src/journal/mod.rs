//! Requests in flight.
//!
//! A [`Journal`] holds a request's prompt and the tokens generated so far, by
//! index. Attempts on upstreams write to it, callers read from it, and it is
//! what one daemon hands to another. Chunks of an older attempt and chunks out
//! of order are dropped.
//!
//! Lock order: the [`Table`] of journals before the state of one journal; no
//! lock of a journal is held while another is taken.

mod end;
mod record;
mod table;

pub use end::End;
pub use record::{Journal, Origin, Progress, Stale};
pub use table::Table;
