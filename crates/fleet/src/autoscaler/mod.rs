//! Plans capacity and executes the plans in a cloud.

mod execute;
mod permit;
mod report;
mod run;

pub use permit::Permit;
pub use report::{Failure, Input, Report};
pub use run::Autoscaler;
