//! A reverse proxy from callers to upstream VMs, on one event loop.
//!
//! A gateway watches its configuration and its upstream VMs in an object API, forwards
//! callers' requests, reports its in-flight load to its peers, and competes for the lease
//! under which one daemon performs the duties of the whole deployment. Whatever is specific
//! to a deployment, such as names, formats and calls, is behind the traits of [`adapter`],
//! which an adapter implements.
//!
//! Decisions are made in other crates without I/O: `route::placement` selects VMs,
//! `route::retry` decides on retries, `route::quota` enforces limits, `route::trust` judges
//! the configuration by its age, and `fleet::zones` plans capacity.

pub mod adapter;
mod app;
pub mod checkpoint;
mod clock;
mod departure;
pub mod duty;
pub mod follow;
mod freshness;
mod generation;
pub mod limits;
pub mod listeners;
pub mod log;
pub mod metrics;
pub mod model;
pub mod notices;
pub mod origin;
pub mod peers;
pub mod pool;
pub mod quarantine;
pub mod relay;
pub mod rollout;
pub mod serve;
mod settings;
mod shared;
mod stage;
pub mod usage;
mod wall_clock;

pub use app::{Adapter, run};
pub use clock::Clock;
pub use freshness::{Confirmation, Freshness};
pub use generation::Generation;
pub use settings::{Policy, QuotaTolerance, Settings};
pub use shared::Shared;
pub use stage::Stage;
pub use wall_clock::{Estimate, WallClock};
