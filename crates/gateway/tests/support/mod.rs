//! Test harness: a gateway with a minimal dialect, an object API in memory, a fake cloud API and
//! VMs that follow a script.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses some of these items"
)]

mod caller;
mod cloud;
mod dialect;
mod fleet;
mod harness;
mod store;
mod vm;
mod vms;

pub use caller::{Caller, Response, request};
pub use cloud::{Call, FakeCloud};
pub use dialect::TestDialect;
pub use fleet::{restart_daemon, start_daemon, start_zones, wait_until_ready};
pub use harness::{Harness, config, config_with, route, run, settings};
pub use store::FakeStore;
pub use vm::{FakeVm, Script, Step};
pub use vms::{Trigger, Vms};
