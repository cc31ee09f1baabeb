//! Stops the daemon on signals, operators' drains and preemption notices.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use entry::{Context, drain};
use schema::member::Leaving;
use tokio::signal::unix::{SignalKind, signal};

/// part of a notice's time that is reserved for the hand-over
const HANDOVER_RESERVE: Duration = Duration::from_secs(2);
/// shortest time for requests to finish after a notice
const MIN_DRAIN_TIME: Duration = Duration::from_millis(100);

/// sends a stop without a deadline on SIGTERM or SIGINT
///
/// # Errors
/// When a handler can't be installed.
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

/// waits for a reason to stop, then drains this daemon and hands its requests over
///
/// Requests get `max_time` to finish, or less if a notice gives less.
pub fn wait_and_drain(context: &Context, stop: &Receiver<Leaving>, max_time: Duration) {
    let Ok(leaving) = stop.recv() else {
        return;
    };
    let time = match leaving.seconds {
        u64::MAX => max_time,
        seconds => Duration::from_secs(seconds)
            .saturating_sub(HANDOVER_RESERVE)
            .clamp(MIN_DRAIN_TIME, max_time),
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
