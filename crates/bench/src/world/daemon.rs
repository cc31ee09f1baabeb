//! One daemon in a process of its own.

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

/// longest wait for one answer of a health check
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// a daemon and the ports that stay its own
#[derive(Debug)]
pub struct Daemon {
    /// its settings
    pub settings: settings::Daemon,
    /// where callers reach it
    pub callers: SocketAddr,
    /// where daemons and operators reach it
    pub control: SocketAddr,
    file: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    _ports: [ReservedPort; 2],
}

impl Daemon {
    /// writes the settings file; the process does not run yet
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
            file,
            folder: folder.to_owned(),
            child: Mutex::new(None),
            _ports: ports,
        })
    }

    /// name of its VM
    pub fn vm(&self) -> &str {
        &self.settings.vm
    }

    /// starts the process, again if it ran before
    pub fn start(&self) -> io::Result<()> {
        let mut command: Command = Program::Daemon.command()?;
        command.arg("--settings").arg(&self.file);
        let child = Child::spawn(command, &self.settings.vm, &self.folder)?;
        *self.lock() = Some(child);
        Ok(())
    }

    /// waits until it takes requests
    pub fn wait_ready(&self, patience: Duration) -> io::Result<()> {
        let ready = poll_until(patience, || self.is_ready().then_some(()));
        ready.ok_or_else(|| io::Error::other(format!("not ready:\n{}", self.tail())))
    }

    /// true if it takes requests
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.callers);
        let answer = attohttpc::get(url).timeout(CHECK_TIMEOUT).send();
        answer.is_ok_and(|answer| answer.is_success())
    }

    /// does something with its process
    ///
    /// # Errors
    /// When it has not been started, or the action fails.
    pub fn with<T>(&self, act: impl FnOnce(&Child) -> io::Result<T>) -> io::Result<T> {
        match &*self.lock() {
            Some(child) => act(child),
            None => Err(io::Error::other("the daemon was not started")),
        }
    }

    /// ends it at once, as the loss of its VM does
    pub fn kill(&self) {
        if let Some(child) = &*self.lock() {
            child.kill();
        }
    }

    /// asks it to stop, as a planned stop does
    pub fn terminate(&self) -> io::Result<()> {
        self.with(Child::terminate)
    }

    /// holds its process still, so that it goes silent
    pub fn pause(&self) -> io::Result<()> {
        self.with(Child::pause)
    }

    /// lets its process go on
    pub fn resume(&self) -> io::Result<()> {
        self.with(Child::resume)
    }

    /// processor time and memory
    pub fn usage(&self) -> io::Result<Usage> {
        self.with(Child::usage)
    }

    /// its metrics, as text
    pub fn metrics(&self) -> Result<String, attohttpc::Error> {
        let url = format!("http://{}/metrics", self.callers);
        attohttpc::get(url)
            .timeout(CHECK_TIMEOUT * 4)
            .send()?
            .error_for_status()?
            .text()
    }

    /// last lines of its log
    pub fn tail(&self) -> String {
        self.lock().as_ref().map(Child::tail).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("child lock")
    }
}
