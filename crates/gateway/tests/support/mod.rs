//! A gateway among small stand-ins: callers' and VMs' messages with names of its own, an
//! object API in memory, and VMs that behave as a script says.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod cloud;
mod dialect;
mod objects;
mod vm;
mod world;

pub use caller::{Answer, Caller, request};
pub use cloud::{Call, Cloudlet};
pub use dialect::Plain;
pub use objects::Store;
pub use vm::{Script, Step, Upstream};
pub use world::{World, config, config_with, route, run, settings};
