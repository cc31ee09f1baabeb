//! When the daemon stops: signals, operators' drains, reclaim notices.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use entry::{Context, drain};
use schema::member::Leaving;
use tokio::signal::unix::{SignalKind, signal};

/// time kept back from a notice for the hand-over itself
const HAND_OVER: Duration = Duration::from_secs(2);
/// shortest time for requests to finish after a notice
const SHORTEST: Duration = Duration::from_millis(100);

/// sends a planned stop on SIGTERM or SIGINT
///
/// # Errors
/// When the system refuses the handlers.
pub fn on_signals(context: &Context, stop: &Sender<Leaving>) -> std::io::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let _runtime = context.runtime.enter();
        let mut signals = signal(kind)?;
        let stop = stop.clone();
        let vm = context.node.me().vm.clone();
        context.runtime.spawn(async move {
            while signals.recv().await.is_some() {
                let leaving = Leaving {
                    vm: vm.clone(),
                    seconds: u64::MAX,
                };
                if stop.try_send(leaving).is_err() {
                    tracing::debug!(event = "stop_known");
                }
            }
        });
    }
    Ok(())
}

/// waits for a reason to stop, then leaves the daemons and hands the requests over
pub fn wait(context: &Context, stop: &Receiver<Leaving>, longest: Duration) {
    let Ok(leaving) = stop.recv() else {
        return;
    };
    let time = match leaving.seconds {
        u64::MAX => longest,
        seconds => Duration::from_secs(seconds)
            .saturating_sub(HAND_OVER)
            .clamp(SHORTEST, longest),
    };
    tracing::info!(
        event = "stopping",
        vm = leaving.vm,
        time_ms = time.as_millis() as u64
    );
    context.runtime.block_on(context.node.start_drain());
    drain::run(context, time);
    context.runtime.block_on(context.node.stop());
}
