//! The gateway from its settings to its end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::adapter::{Cloud, Dialect, Objects};
use crate::checkpoint::checkpoint;
use crate::duty::{self, Holder};
use crate::peers::{Peers, peers};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stage::Stage;
use crate::{follow, listeners};

/// part of the grace after which what still runs is cut
const GRACE_PART: f64 = 0.92;

/// least time between the order to stop and the end: the balancer asks once a second and
/// sends new callers until it has missed two answers
const STOP_LEAST: Duration = Duration::from_millis(3000);

/// time between two looks at whether all requests have ended
const STOP_TICK: Duration = Duration::from_millis(50);

/// time between two sweeps of idle connections
const PRUNE: Duration = Duration::from_secs(2);

/// what a deployment's adapter provides
pub struct Adapter<D, S, C> {
    /// the messages of callers and upstream VMs
    pub dialect: D,
    /// the object API
    pub objects: S,
    /// the cloud API
    pub cloud: C,
}

/// runs the gateway until it is told to stop
///
/// Has to run in a [`tokio::task::LocalSet`].
///
/// # Errors
/// When an address can't be listened on or signals can't be received.
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
    let known = Peers::new(&settings.name, &settings.zone);
    let holder = Holder::new(&*shared, &known);
    spawn_local(listeners::metrics(
        Rc::clone(&shared),
        Rc::clone(&known),
        metrics,
    ));
    spawn_local(peers(
        Rc::clone(&shared),
        Rc::clone(&objects),
        Rc::clone(&known),
    ));
    spawn_local(Rc::clone(&holder).run(Rc::clone(&objects)));
    let duty = (holder, Rc::clone(&known));
    spawn_local(checkpoint(
        Rc::clone(&shared),
        Rc::clone(&objects),
        duty.clone(),
    ));
    if settings.reports_usage {
        let usage = duty::usage(Rc::clone(&shared), objects, Rc::clone(&cloud), duty.clone());
        spawn_local(usage);
    }
    if settings.orders_capacity {
        spawn_local(duty::capacity(Rc::clone(&shared), cloud, duty));
    }
    spawn_local(prune(Rc::clone(&shared)));
    stop(&shared, &known).await
}

async fn prune<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        sleep(PRUNE).await;
        shared.pool.prune();
    }
}

/// waits for the order to stop, then until all requests have ended or the grace is over
async fn stop<D: Dialect>(shared: &Shared<D>, peers: &Peers) -> io::Result<()> {
    let up = Instant::now();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => {
                tracing::info!(event = "reload", cause = "hang-up signal");
            }
        }
    }
    let start = Instant::now();
    shared.stage.send_replace(Stage::Draining);
    let (sent, received) = peers.traffic();
    tracing::info!(
        event = "stopping",
        connections = shared.callers.get(),
        peer_bytes_sent = sent,
        peer_bytes_received = received,
        up_s = up.elapsed().as_secs(),
    );
    let most = shared.settings.promises.grace.mul_f64(GRACE_PART);
    loop {
        sleep(STOP_TICK).await;
        let passed = start.elapsed();
        let done = passed >= STOP_LEAST && shared.callers.get() == 0;
        if done || passed >= most {
            tracing::info!(event = "stopped", connections = shared.callers.get());
            return Ok(());
        }
    }
}
