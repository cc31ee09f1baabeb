//! Real processes under seeded load and faults, judged against the promises.
//!
//! [`run`] drives: callers and faults only note what they did and saw. What
//! was promised is checked by [`judge`] alone, from the notes and the
//! stand-ins' records.

mod calls;
mod facts;
mod inject;
mod judge;
mod load;
mod notes;
mod options;
mod report;
mod run;
mod schedule;
mod shape;
mod watch;

pub use facts::{
    Call, CallKind, Engine, Execution, Facts, Notice, Outcome, Settlement, Sighting, Window,
};
pub use judge::{Judgement, Promise, Violation, judge};
pub use options::{Options, options};
pub use report::{Share, shares};
pub use run::run;
pub use schedule::{Event, FaultKind, schedule};
pub use shape::Shape;
