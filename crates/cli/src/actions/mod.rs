//! Implementation of each command. An action returns the text to print.

mod apply;
mod check;
mod completion;
mod declaration;
mod drain;
mod get;
mod key;
mod platform;
mod preset;
mod rpc;
mod run;
mod status;
mod trace;

pub use run::run;
