//! What each command does. An action gives the text to print.

mod check;
mod completion;
mod declaration;
mod drain;
mod key;
mod rpc;
mod run;
mod status;
mod trace;

pub use run::run;
