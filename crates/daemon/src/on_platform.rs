//! The gateway on the users' platform.

use gateway::Adapter;
use platform::{Cloud, Protocol, Settings, Store};
use tokio::runtime;
use tokio::task::LocalSet;

use crate::error::Error;
use crate::logs;

/// reads the platform's settings and serves until the process is asked to stop
///
/// # Errors
/// When the settings are invalid or something can't be started.
pub fn run(check: bool, filter: &str) -> Result<(), Error> {
    let settings = Settings::read().map_err(|error| Error::Settings(error.to_string()))?;
    if check {
        println!("{}: settings are valid", settings.gateway.name);
        return Ok(());
    }
    let _log_guard = logs::start_lossy(filter)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::System)?;
    let (store, cloud) = (settings.store, settings.cloud);
    let serving = gateway::run(settings.gateway, |pool| Adapter {
        dialect: Protocol,
        objects: Store::new(pool, store),
        cloud: Cloud::new(pool, cloud),
    });
    LocalSet::new()
        .block_on(&runtime, serving)
        .map_err(Error::System)
}
