//! A daemon that runs as a child process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use schema::settings;
use standin::ReservedPort;

use crate::poll_until;
use crate::process::{Child, Program, Usage};

/// time limit of a readiness check
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// a daemon, with ports that stay reserved while its process is restarted
#[derive(Debug)]
pub struct Daemon {
    /// contents of the settings file
    pub settings: settings::Daemon,
    /// address for callers
    pub callers: SocketAddr,
    /// address for other daemons and operators
    pub control: SocketAddr,
    settings_file: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    _ports: [ReservedPort; 2],
}

impl Daemon {
    /// writes the settings file without starting the process
    pub(super) fn new(
        settings: settings::Daemon,
        ports: [ReservedPort; 2],
        folder: &Path,
    ) -> io::Result<Self> {
        let file = folder.join(format!("{}.yaml", settings.vm));
        let text = serde_norway::to_string(&settings).map_err(io::Error::other)?;
        fs::write(&file, text)?;
        Ok(Self {
            settings,
            callers: ports[0].address(),
            control: ports[1].address(),
            settings_file: file,
            folder: folder.to_owned(),
            child: Mutex::new(None),
            _ports: ports,
        })
    }

    /// name of the daemon's VM
    pub fn vm(&self) -> &str {
        &self.settings.vm
    }

    /// starts the process, also again after it has ended
    pub fn start(&self) -> io::Result<()> {
        let mut command: Command = Program::Daemon.command()?;
        command.arg("--settings").arg(&self.settings_file);
        let child = Child::spawn(command, &self.settings.vm, &self.folder)?;
        *self.lock() = Some(child);
        Ok(())
    }

    /// waits until the daemon accepts requests
    pub fn wait_ready(&self, timeout: Duration) -> io::Result<()> {
        let ready = poll_until(timeout, || self.is_ready().then_some(()));
        ready.ok_or_else(|| {
            io::Error::other(format!(
                "{} was not ready within {timeout:?}:\n{}",
                self.vm(),
                self.log_tail()
            ))
        })
    }

    /// true if the daemon accepts requests
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let response = attohttpc::get(url).timeout(CHECK_TIMEOUT).send();
        response.is_ok_and(|response| response.is_success())
    }

    /// calls `act` with the running or ended process
    ///
    /// # Errors
    /// When the process was never started, or `act` fails.
    pub fn with_process<T>(&self, act: impl FnOnce(&Child) -> io::Result<T>) -> io::Result<T> {
        match &*self.lock() {
            Some(child) => act(child),
            None => Err(io::Error::other(format!("{} was not started", self.vm()))),
        }
    }

    /// kills the process, as the loss of its VM does
    pub fn kill(&self) {
        if let Some(child) = &*self.lock() {
            child.kill();
        }
    }

    /// sends SIGTERM, as a planned stop does
    pub fn terminate(&self) -> io::Result<()> {
        self.with_process(Child::terminate)
    }

    /// pauses the process: connections stay open but carry nothing
    pub fn pause(&self) -> io::Result<()> {
        self.with_process(Child::pause)
    }

    /// resumes the process after [`Daemon::pause`]
    pub fn resume(&self) -> io::Result<()> {
        self.with_process(Child::resume)
    }

    /// resource usage of the process
    pub fn usage(&self) -> io::Result<Usage> {
        self.with_process(Child::usage)
    }

    /// response of `/metrics`
    pub fn metrics(&self) -> Result<String, attohttpc::Error> {
        let url = format!("http://{}/metrics", self.callers);
        attohttpc::get(url)
            .timeout(CHECK_TIMEOUT * 4)
            .send()?
            .error_for_status()?
            .text()
    }

    /// last lines of the log
    pub fn log_tail(&self) -> String {
        self.lock()
            .as_ref()
            .map(Child::log_tail)
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("daemon process lock poisoned")
    }
}
