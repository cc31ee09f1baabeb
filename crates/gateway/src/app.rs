//! Start-up, background tasks and shutdown of the gateway.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::adapter::{Cloud, Dialect, Objects};
use crate::checkpoint::write_checkpoints;
use crate::duty::{self, Lease};
use crate::peers::{Peers, exchange_reports};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{follow, listeners, rollout};

/// shortest time from the termination signal to exit: the load balancer checks readiness once
/// a second and sends new callers until two checks have failed
const MIN_STOP_TIME: Duration = Duration::from_millis(3000);

/// longest time that the announcement to the peers takes that this daemon is gone
const ANNOUNCE_TIME: Duration = Duration::from_millis(1000);

/// interval at which a stopping process checks for open caller connections
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// interval between two sweeps of idle upstream connections
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// implementations that a deployment's adapter provides
pub struct Adapter<D, S, C> {
    /// message formats of callers and upstream VMs
    pub dialect: D,
    /// the object API
    pub objects: S,
    /// the cloud API
    pub cloud: C,
}

/// runs the gateway until a termination signal arrives
///
/// Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
/// If an address can't be bound or a signal handler can't be installed.
pub async fn run<D, S, C, F>(settings: Settings, adapt: F) -> io::Result<()>
where
    D: Dialect + 'static,
    S: Objects + 'static,
    C: Cloud + 'static,
    F: FnOnce(&Rc<crate::pool::Pool>) -> Adapter<D, S, C>,
{
    let pool = crate::pool::Pool::new();
    let adapter = adapt(&pool);
    let shared = Shared::new(settings, adapter.dialect, pool);
    let objects = Rc::new(adapter.objects);
    let cloud = Rc::new(adapter.cloud);
    let settings = &shared.settings;
    let callers = listeners::bind(settings.callers)?;
    let ready = listeners::bind(settings.ready)?;
    let metrics = listeners::bind(settings.metrics)?;
    tracing::info!(
        event = "started",
        daemon = settings.name,
        zone = settings.zone
    );
    spawn_local(listeners::readiness(Rc::clone(&shared), ready));
    spawn_local(listeners::callers(Rc::clone(&shared), callers));
    spawn_local(follow::config(Rc::clone(&shared), Rc::clone(&objects)));
    spawn_local(follow::vms(Rc::clone(&shared), Rc::clone(&objects)));
    spawn_local(follow::rollouts(Rc::clone(&shared), Rc::clone(&objects)));
    spawn_local(rollout::evaluate(Rc::clone(&shared)));
    let peer_state = Peers::new(&settings.name, &settings.zone);
    let lease = Lease::new(&*shared, &peer_state);
    spawn_local(listeners::metrics(
        Rc::clone(&shared),
        Rc::clone(&peer_state),
        metrics,
    ));
    spawn_local(exchange_reports(
        Rc::clone(&shared),
        Rc::clone(&objects),
        Rc::clone(&peer_state),
    ));
    spawn_local(Rc::clone(&lease).run(Rc::clone(&objects)));
    spawn_local(rollout::write_statuses(
        Rc::clone(&shared),
        Rc::clone(&objects),
        Rc::clone(&lease),
    ));
    let duty = (lease, Rc::clone(&peer_state));
    spawn_local(write_checkpoints(
        Rc::clone(&shared),
        Rc::clone(&objects),
        duty.clone(),
    ));
    if settings.reports_usage {
        let usage =
            duty::report_usage(Rc::clone(&shared), objects, Rc::clone(&cloud), duty.clone());
        spawn_local(usage);
    }
    if settings.orders_capacity {
        spawn_local(duty::order_capacity(Rc::clone(&shared), cloud, duty));
    }
    spawn_local(prune(Rc::clone(&shared)));
    spawn_local(sweep(Rc::clone(&shared)));
    stop(&shared, &peer_state).await
}

async fn prune<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        shared.pool.prune();
    }
}

/// compares the progress of callers' connections
async fn sweep<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        sleep(memory::TICK).await;
        shared.memory.sweep();
    }
}

/// waits for a termination signal, then until all caller connections have closed or the grace
/// period is nearly over
async fn stop<D: Dialect>(shared: &Shared<D>, peers: &Peers) -> io::Result<()> {
    let started = Instant::now();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => {
                tracing::info!(event = "reload", cause = "received SIGHUP");
            }
        }
    }
    let schedule = shared.begin_stop();
    let (sent, received) = peers.traffic();
    tracing::info!(
        event = "stopping",
        connections = shared.caller_connections.get(),
        peer_bytes_sent = sent,
        peer_bytes_received = received,
        up_s = started.elapsed().as_secs(),
    );
    let node = shared.owners.node();
    if let Some(node) = node.clone() {
        // the limits that this daemon owns go to others at once
        spawn_local(async move { node.start_drain().await });
    }
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        let now = Instant::now();
        let is_balanced = now >= schedule.started() + MIN_STOP_TIME;
        let done = is_balanced && shared.caller_connections.get() == 0;
        if done || now >= schedule.exit_at() {
            tracing::info!(
                event = "stopped",
                connections = shared.caller_connections.get()
            );
            // without time for it, the peers notice by themselves
            if let Some(node) = node.filter(|_| now + ANNOUNCE_TIME < schedule.exit_at()) {
                node.stop().await;
            }
            return Ok(());
        }
    }
}
