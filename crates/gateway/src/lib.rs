//! Serves callers from upstream VMs on one event loop.
//!
//! A gateway follows its configuration and its upstream VMs in an object API, forwards
//! callers' requests, tells its peers what it has under way, and takes its turn in the
//! duties of all daemons. What is particular to a deployment, such as names, formats and
//! calls, is in the traits of [`adapter`], which an adapter implements.
//!
//! Decisions are elsewhere and do no I/O: `route::placement` chooses VMs, `route::retry`
//! repeats, `route::quota` limits, `route::trust` judges the configuration's age,
//! `fleet::zones` orders VMs.

pub mod adapter;
mod app;
pub mod checkpoint;
mod clock;
pub mod duty;
pub mod follow;
pub mod listeners;
pub mod log;
pub mod metrics;
pub mod model;
pub mod peers;
pub mod pool;
pub mod serve;
mod settings;
mod shared;
mod stage;
pub mod usage;
mod vouch;

pub use app::{Adapter, run};
pub use clock::Clock;
pub use settings::{Promises, QuotaSlack, Settings};
pub use shared::Shared;
pub use stage::Stage;
pub use vouch::{Vouched, Word};
