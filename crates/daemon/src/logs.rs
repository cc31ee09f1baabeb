//! Logs: one line of key=value pairs per event.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::error::Error;

/// lines that wait to be written; more are left out rather than waited for
const LINES: usize = 4096;

/// starts logging to standard error with a filter such as `info` or `entry=debug,info`
///
/// # Errors
/// When the filter is wrong.
pub fn start(filter: &str) -> Result<(), Error> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::Settings(format!("The log filter is wrong: {error}.")))?;
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let registry = tracing_subscriber::registry().with(filter).with(lines);
    registry
        .try_init()
        .map_err(|error| Error::Settings(error.to_string()))
}

/// starts logging to standard output with a filter; a reader that does not keep up costs
/// lines, never time
///
/// What waits is written when the guard is dropped.
///
/// # Errors
/// When the filter is wrong.
pub fn start_lossy(filter: &str) -> Result<WorkerGuard, Error> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::Settings(format!("The log filter is wrong: {error}.")))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let registry = tracing_subscriber::registry()
        .with(filter)
        .with(lines.with_writer(writer));
    registry
        .try_init()
        .map_err(|error| Error::Settings(error.to_string()))?;
    Ok(guard)
}
