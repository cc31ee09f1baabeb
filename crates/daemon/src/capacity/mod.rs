//! Capacity: the lease of the one planner, and what its holder does.
//!
//! One daemon of each data centre, by duty, tries to hold the lease `capacity`.
//! The holder lists VMs, asks engines for their load, plans with
//! [`fleet::Autoscaler`] and orders engines to load the model of their service. A
//! holder keeps the lease while it runs, also when the duty falls to another,
//! because its successor starts with no memory and removes nothing for minutes.
//!
//! While the store is out nobody can hold the lease. Then the last holder alone
//! goes on, with a permit that covers starts under derived names and orders to
//! engines that check fencing numbers; [`fleet`] plans no removal then.
//!
//! What remains: a holder that is stopped between its last look at the clock
//! and the send of an order sends it when it wakes, however late. Engines that
//! check fencing numbers refuse it; others take it until the holder of that
//! time reads them back. A last holder that is cut off from the store but not
//! from the cloud replaces VMs that its successor removed, up to the number
//! before the cut. Both are bounded by the ceiling.

mod candidate;
mod planner;
mod sample;
mod survey;
mod tenure;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use entry::Context;
use fleet::cloud::{Client, Timeouts};
use schema::member::Leaving;
use schema::settings::Platform;

use candidate::Candidate;
use planner::Planner;
pub use tenure::Tenure;

/// duty of trying to hold the lease, and the name of the lease
pub const DUTY: &str = "capacity";
/// time for which the lease lasts after a renewal
const LEASE: Duration = Duration::from_secs(12);
/// longest time to connect for an order
const CONNECT: Duration = Duration::from_secs(1);
/// longest time for a call to the cloud
const CALL: Duration = Duration::from_secs(3);
/// longest time from the last look at the lease to the arrival of an order
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// starts the candidate and the planner of this daemon
///
/// # Errors
/// When a thread can't be started.
pub fn start(
    context: &Arc<Context>,
    platform: &Platform,
    objects: store::Client,
    notices: Receiver<Leaving>,
) -> std::io::Result<Arc<Tenure>> {
    let tenure = Arc::new(Tenure::default());
    let timeouts = Timeouts {
        connect: CONNECT,
        call: CALL,
    };
    let cloud = Client::new(&platform.cloud).timeouts(timeouts);
    Candidate::start(Arc::clone(context), objects, Arc::clone(&tenure))?;
    Planner::start(Arc::clone(context), cloud, Arc::clone(&tenure), notices)?;
    Ok(tenure)
}
