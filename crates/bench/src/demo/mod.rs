//! Demonstration: reclaimed VMs, a planned stop and a repeated booking.

mod report;
mod run;
mod scenarios;

pub use run::run;
