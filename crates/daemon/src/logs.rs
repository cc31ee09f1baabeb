//! Logs in logfmt: one line of key=value pairs per event.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::error::Error;

/// lines that may wait to be written; further ones are dropped
const MAX_BUFFERED_LINES: usize = 4096;

/// starts logging to standard error with a filter such as `info` or `entry=debug,info`
///
/// # Errors
/// When the filter is invalid.
pub fn start(filter: &str) -> Result<(), Error> {
    let env_filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::Settings(format!("invalid log filter {filter:?}: {error}")))?;
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let registry = tracing_subscriber::registry().with(env_filter).with(lines);
    registry
        .try_init()
        .map_err(|error| Error::Settings(error.to_string()))
}

/// starts logging to standard output with a filter; if the reader is slow, lines are dropped
/// and the caller is not blocked
///
/// Waiting lines are written when the guard is dropped.
///
/// # Errors
/// When the filter is invalid.
pub fn start_lossy(filter: &str) -> Result<WorkerGuard, Error> {
    let env_filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::Settings(format!("invalid log filter {filter:?}: {error}")))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let registry = tracing_subscriber::registry()
        .with(env_filter)
        .with(lines.with_writer(writer));
    registry
        .try_init()
        .map_err(|error| Error::Settings(error.to_string()))?;
    Ok(guard)
}
