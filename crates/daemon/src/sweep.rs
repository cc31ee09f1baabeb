//! Periodic removal of ended and abandoned requests, and of expired copies and notices.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use schema::settings::Limits;
use tokio::time::Instant;

/// period of the removal
const PERIOD: Duration = Duration::from_millis(500);

/// starts the thread
///
/// # Errors
/// When the thread can't be started.
pub fn start(context: Arc<Context>, limits: &Limits) -> std::io::Result<()> {
    let abandoned_after = Duration::from_secs(limits.abandon_seconds);
    let retention = Duration::from_secs(limits.keep_seconds);
    let builder = thread::Builder::new().name("sweep".to_owned());
    let run = move || loop {
        let now = Instant::now();
        for journal in context.journals.sweep(abandoned_after, retention, now) {
            tracing::info!(event = "abandoned", request = journal.origin.id);
        }
        context.standby.sweep(now);
        context.migration.sweep(now);
        thread::sleep(PERIOD);
    };
    builder.spawn(run).map(drop)
}
