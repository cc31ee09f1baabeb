//! What the gateway knows: configuration, upstream VMs and callers' requests.
//!
//! These types are the product's own. A deployment's adapter decodes whatever its
//! platform sends into them once, so that nothing behind it depends on wire names.

mod call;
mod config;
mod route;
mod vm;

pub use call::{Call, Part};
pub use config::{Bounds, Config, Engine, KeyHash, Limit, Scaling, Service, Unit, Workspace};
pub use route::{Kind, Route, Target};
pub use vm::{Health, Vm};
