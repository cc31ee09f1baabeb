//! Capacity: the lease that elects one planner, and the work of its holder.
//!
//! One daemon of each data centre, by duty, competes for the lease `capacity`.
//! The holder lists VMs, polls engines for their load, plans with
//! [`fleet::Autoscaler`] and orders engines to load the model of their service. A
//! holder keeps the lease while it runs, even when the duty moves to another daemon,
//! because a successor starts without state and removes no VM for minutes.
//!
//! While the store is unreachable the lease can't be renewed. Then only the last
//! holder continues, with a permit that covers starts under derived names and orders
//! to engines that check fencing tokens; [`fleet`] plans no removal then.
//!
//! Known limits: a holder that is suspended between its last lease check and the send
//! of an order sends the order when it resumes, however late. Engines that check
//! fencing tokens reject it; others accept it until the current holder reads their
//! last order. A last holder that is partitioned from the store but not from the cloud
//! replaces VMs that its successor removed, up to the number before the partition.
//! Both are bounded by the ceiling.

mod candidate;
mod leadership;
mod monitor;
mod planner;
mod sample;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use entry::Context;
use fleet::cloud::{Client, Timeouts};
use schema::member::Leaving;
use schema::settings::Platform;

use candidate::Candidate;
pub use leadership::Leadership;
use planner::Planner;

/// duty of competing for the lease, and the name of the lease
pub const DUTY: &str = "capacity";
/// validity of the lease after a renewal
const LEASE_DURATION: Duration = Duration::from_secs(12);
/// timeout of connecting for an order
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// timeout of a call to the cloud
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// longest time from the last lease check to the arrival of an order
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
) -> std::io::Result<Arc<Leadership>> {
    let leadership = Arc::new(Leadership::default());
    let timeouts = Timeouts {
        connect: CONNECT_TIMEOUT,
        call: CALL_TIMEOUT,
    };
    let cloud = Client::new(&platform.cloud).timeouts(timeouts);
    Candidate::start(Arc::clone(context), objects, Arc::clone(&leadership))?;
    Planner::start(Arc::clone(context), cloud, Arc::clone(&leadership), notices)?;
    Ok(leadership)
}
