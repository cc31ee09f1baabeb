//! Logs: one line of key=value pairs per event, to standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::error::Error;

/// starts logging with a filter such as `info` or `entry=debug,info`
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
