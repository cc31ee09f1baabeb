//! A short show: reclaims, a planned stop and a repeated booking.

mod report;
mod run;
mod scenes;

pub use run::run;
