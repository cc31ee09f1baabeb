//! Replays a trace against real daemons and compares the measured figures with the
//! expected outcomes of the trace.
//!
//! Calls are sent at their arrival times, however many are still open, to daemons chosen
//! by the seed. Every completion is compared with the text that the engine stand-in
//! generates for its prompt, every booking with the records of the plain services. The
//! policies run one after the other, each in a deployment of its own.

mod call;
mod check;
mod driver;
mod fault;
mod figures;
mod measurements;
mod observation;
mod options;
mod plan;
mod record;
mod report;
mod run;

pub use check::{Check, check};
pub use fault::Fault;
pub use figures::Figures;
pub use options::{Options, Output, options};
pub use run::run;
