//! Domain types: configuration, upstream VMs and callers' requests.
//!
//! These types are independent of any platform. A deployment's adapter decodes its platform's
//! messages into them once, so that no other code depends on wire names.

mod call;
mod config;
mod rollout;
mod route;
mod vm;

pub use ::route::placement::Transfer;
pub use call::{Call, Part};
pub use config::{Bounds, Config, Engine, KeyHash, Limit, Scaling, Service, Unit, Workspace};
pub use rollout::{Rollout, RolloutStatus};
pub use route::{Kind, Route, Target};
pub use vm::{Health, Vm};
