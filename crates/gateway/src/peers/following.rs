use std::time::Duration;

use route::trust::Role;
use tokio::time::{Instant, sleep, sleep_until};

use super::topology::Topology;
use crate::adapter::{Dialect, Objects};
use crate::follow::apply_reply;
use crate::relay::{Cursor, Known, Position, Reply};
use crate::shared::Shared;

/// time that a reply may take on its way, besides the wait that the call asks for
const REPLY_TIME: Duration = Duration::from_millis(300);

/// shortest time between two calls, for changes that come one by one
const MIN_INTERVAL: Duration = Duration::from_millis(60);

/// pause after a call that gave nothing recent, if that of the call before was too old as well
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// interval at which a watcher checks whether it has become a follower
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// follows the watcher or the standby of this daemon's group for as long as the process runs
///
/// A watcher itself asks the other daemons while it does not reach the store.
///
/// `call` asks a daemon and waits for its reply for a time; it returns none if there is no usable
/// reply.
pub async fn follow_watchers<D: Dialect, S: Objects>(
    shared: &Shared<D>,
    store: &S,
    topology: impl Fn() -> Topology,
    call: impl AsyncFn(&str, &Known, Duration) -> Option<Reply>,
) {
    let mut cursor = Cursor::new();
    loop {
        let topology = topology();
        let now = Instant::now();
        let was_fresh = is_fresh(shared);
        let names = match shared.role.get() {
            Role::Watcher if was_fresh => &[],
            Role::Standby if was_fresh => topology.group_peers().get(..1).unwrap_or_default(),
            _ => topology.group_peers(),
        };
        let index = cursor.index(names.len(), topology.followed_peers(), topology.draw(), now);
        let Some(name) = index.and_then(|index| names.get(index)) else {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        };
        // without recent state, a call is not held
        let wait = if was_fresh {
            shared.role.get().follow_wait(shared.settings.policy.drain)
        } else {
            Duration::ZERO
        };
        let known = known(shared, wait);
        let requested_at = shared.clock.now();
        let reply = call(name, &known, wait + REPLY_TIME).await;
        let is_silent = reply.is_none();
        let is_current = reply.is_some_and(|reply| {
            apply_reply(shared, store, reply, requested_at) && is_fresh(shared)
        });
        if !is_current {
            cursor.advance(now);
        }
        if shared.role.get() == Role::Standby && index == Some(0) {
            stand_in(shared, !is_current);
        }
        // the time of a call without a reply is lost already
        let pause = if is_current || (is_silent && was_fresh) {
            Duration::ZERO
        } else {
            RETRY_PAUSE
        };
        sleep_until((now + MIN_INTERVAL).max(Instant::now() + pause)).await;
    }
}

/// what this daemon asks another one for, and for how long the call may be held
fn known<D: Dialect>(shared: &Shared<D>, wait: Duration) -> Known {
    let position = shared.followed_vms.get().unwrap_or(Position {
        hash: shared.relay.vm_hash(),
        ..Position::default()
    });
    shared.relay.known(position, wait)
}

/// lets a standby act as the watcher, or stop doing so
fn stand_in<D: Dialect>(shared: &Shared<D>, stands_in: bool) {
    if shared.stands_in.replace(stands_in) != stands_in {
        tracing::info!(event = "store_stand_in", stands_in);
    }
}

/// whether what was received is recent enough that the store need not be called
fn is_fresh<D: Dialect>(shared: &Shared<D>) -> bool {
    let role = Role::Follower;
    let is_config_fresh = shared
        .config_age()
        .is_some_and(|age| !role.needs_store(age, &shared.trust_bounds()));
    let drain = shared.settings.policy.drain;
    let are_vms_fresh = shared
        .relay
        .vm_age()
        .is_some_and(|age| !role.needs_vms(age, drain));
    is_config_fresh && are_vms_fresh
}
