//! Whether a configuration is recent enough to decide on requests.
//!
//! A revoked key must stop working within a bound, even at a daemon that does not receive
//! the revocation. A daemon therefore trusts keys only while the store has recently
//! confirmed that its configuration is the newest. The age counts from the latest time at
//! which the store is known to have had no newer one, not from the arrival of the response.
//!
//! Load pattern: some daemons are cut off from the store by outages or partitions while
//! keys are revoked; configurations follow in quick succession, so that a route or key
//! unknown to this daemon may already be in force.
//!
//! Second load pattern: many daemons, and every call to the store is billed. A confirmation
//! that one daemon got from the store holds for all daemons with the same configuration.
//! So one daemon of a group (the watcher) queries the store often and passes its confirmations on;
//! the others (followers) query it themselves only if they have had no confirmation for too long.
//! One of them (the standby) does so earlier, so that the others rarely have to.
//! The list of upstream VMs is confirmed in the same way: a VM that drains may get requests for
//! a bounded time, and a follower whose list is older than most of that time queries the store.

use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// fraction of the bound on keys that is used; the rest covers a request's transit to its VM
const MAX_KEYS_AGE_FRACTION: f64 = 0.85;

/// fraction of the time in which a configuration has to be in force; beyond it, an item missing
/// from the configuration may have been added since
const MAX_CURRENT_AGE_FRACTION: f64 = 0.8;

/// length of a watcher's watch, as a fraction of the bound on keys: its confirmation can be
/// passed on once or twice before it is too old
const WATCHER_WATCH_FRACTION: f64 = 0.25;

/// fraction of the bound on keys after which a follower queries the store; leaves time for
/// the call itself
const FOLLOWER_KEYS_FRACTION: f64 = 0.6;

/// fraction of the time in which a configuration has to be in force after which a follower
/// queries the store
const FOLLOWER_APPLY_FRACTION: f64 = 0.9;

/// longest watch of a follower, which returns at once on a change; the shortest is half of it,
/// so that followers do not query the store simultaneously
const MAX_FOLLOWER_WATCH: Duration = Duration::from_secs(24);

/// length of a watcher's watch of VMs, as a fraction of the time in which requests may still
/// reach a draining one; together with the waits on the way to a follower less than its limit
const VM_WATCH_FRACTION: f64 = 0.3;

/// time for which a standby's call is held, as a fraction of that time
const STANDBY_WAIT_FRACTION: f64 = 0.1;

/// time for which a follower's call is held, as a fraction of that time
const FOLLOWER_WAIT_FRACTION: f64 = 0.2;

/// age of a standby's list of VMs, as a fraction of that time, after which it queries the store:
/// before the followers do
const STANDBY_VMS_FRACTION: f64 = 0.5;

/// age of a follower's list of VMs, as a fraction of that time, after which it queries the store
const FOLLOWER_VMS_FRACTION: f64 = 0.65;

/// age of a standby's configuration after which it queries the store, as a fraction of that of a
/// follower
const STANDBY_AGE_FRACTION: f64 = 0.75;

/// watch of a follower without a recent confirmation: its end confirms the configuration
const FOLLOWER_PROBE_WATCH: Duration = Duration::from_millis(200);

/// watch of VMs by a follower without a recent list
const FOLLOWER_VMS_WATCH: Duration = Duration::from_millis(100);

/// bounds on the age of a configuration
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// time in which a configuration has to be in force everywhere
    pub apply: Duration,
    /// age beyond which keys are not trusted; none if they are always trusted
    pub keys: Option<Duration>,
}

/// which decisions a configuration is recent enough for
#[apply(value!)]
pub enum Trust {
    /// all decisions
    Current,
    /// what it contains is valid; what it lacks may have been added since
    Behind,
    /// keys may have been revoked
    Stale,
}

/// classifies a configuration by its age
pub fn classify(age: Duration, bounds: &Bounds) -> Trust {
    if bounds
        .keys
        .is_some_and(|keys| age > keys.mul_f64(MAX_KEYS_AGE_FRACTION))
    {
        return Trust::Stale;
    }
    if age > bounds.apply.mul_f64(MAX_CURRENT_AGE_FRACTION) {
        return Trust::Behind;
    }
    Trust::Current
}

/// how a daemon keeps its configuration confirmed
#[apply(value!)]
pub enum Role {
    /// queries the store often, and passes its confirmations on to peers
    Watcher,
    /// relies on the watcher, and queries the store as soon as that one seems to have failed
    Standby,
    /// relies on confirmations from peers
    Follower,
}

impl Role {
    /// time-out of the next watch; `draw`, from 0 to 1, spreads the watches of followers
    pub fn watch_timeout(self, age: Duration, bounds: &Bounds, draw: f64) -> Duration {
        match self {
            Role::Watcher => bounds
                .keys
                .unwrap_or(bounds.apply)
                .mul_f64(WATCHER_WATCH_FRACTION)
                .saturating_sub(age)
                .max(FOLLOWER_PROBE_WATCH),
            _ if self.needs_store(age, bounds) => FOLLOWER_PROBE_WATCH,
            Role::Standby | Role::Follower => MAX_FOLLOWER_WATCH.mul_f64(0.5 + 0.5 * draw),
        }
    }

    /// whether a daemon whose configuration has an age has to query the store itself
    pub fn needs_store(self, age: Duration, bounds: &Bounds) -> bool {
        match self {
            Role::Watcher => true,
            Role::Standby => age >= max_unconfirmed_age(bounds).mul_f64(STANDBY_AGE_FRACTION),
            Role::Follower => age >= max_unconfirmed_age(bounds),
        }
    }

    /// whether a daemon whose list of VMs has an age has to query the store itself; requests may
    /// reach a draining VM for the time `drain`
    pub fn needs_vms(self, age: Duration, drain: Duration) -> bool {
        match self {
            Role::Watcher => true,
            Role::Standby => age >= drain.mul_f64(STANDBY_VMS_FRACTION),
            Role::Follower => age >= drain.mul_f64(FOLLOWER_VMS_FRACTION),
        }
    }

    /// time-out of the next watch of VMs by a daemon whose list has an age; short for one that has
    /// just begun to watch, as only the end of the watch confirms the list
    pub fn vm_watch_timeout(self, age: Duration, drain: Duration) -> Duration {
        match self {
            Role::Watcher => drain
                .mul_f64(VM_WATCH_FRACTION)
                .saturating_sub(age)
                .max(FOLLOWER_VMS_WATCH),
            Role::Standby | Role::Follower => FOLLOWER_VMS_WATCH,
        }
    }

    /// whether a watch with time-out `wait` may continue; otherwise a shorter one is due, as for
    /// a follower that has become a watcher
    pub fn may_continue(self, wait: Duration, age: Duration, bounds: &Bounds) -> bool {
        match self {
            Role::Watcher => wait <= self.watch_timeout(Duration::ZERO, bounds, 0.0),
            Role::Standby | Role::Follower => {
                !self.needs_store(age, bounds) || wait <= FOLLOWER_PROBE_WATCH
            }
        }
    }

    /// time for which this daemon asks another one to hold its call
    pub fn follow_wait(self, drain: Duration) -> Duration {
        match self {
            Role::Watcher | Role::Standby => drain.mul_f64(STANDBY_WAIT_FRACTION),
            Role::Follower => drain.mul_f64(FOLLOWER_WAIT_FRACTION),
        }
    }
}

/// age from which a follower queries the store itself
fn max_unconfirmed_age(bounds: &Bounds) -> Duration {
    let apply = bounds.apply.mul_f64(FOLLOWER_APPLY_FRACTION);
    let keys = bounds.keys.map(|keys| keys.mul_f64(FOLLOWER_KEYS_FRACTION));
    keys.map_or(apply, |keys| keys.min(apply))
}
