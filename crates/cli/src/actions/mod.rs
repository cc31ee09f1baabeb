//! What each command does. An action gives the text to print.

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
