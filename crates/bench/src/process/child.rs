//! A child process that is killed when dropped.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{self, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::Usage;
use crate::poll_until;

/// lines of the log that [`Child::log_tail`] returns
const TAIL_LINES: usize = 60;

/// a child process and its log file
#[derive(Debug)]
pub struct Child {
    name: String,
    log: PathBuf,
    state: Mutex<State>,
    id: u32,
}

#[derive(Debug)]
struct State {
    process: process::Child,
    exit_status: Option<ExitStatus>,
}

impl Child {
    /// starts a process and appends its output to `FOLDER/NAME.log`
    pub fn spawn(mut command: Command, name: &str, folder: &Path) -> io::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file);
        let process = command.spawn()?;
        let id = process.id();
        let state = Mutex::new(State {
            process,
            exit_status: None,
        });
        Ok(Self {
            name: name.to_owned(),
            log,
            state,
            id,
        })
    }

    /// name given to [`Child::spawn`]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// process id
    pub fn id(&self) -> u32 {
        self.id
    }

    /// exit status, if the process has exited
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.lock().poll()
    }

    /// waits until the process has exited; none on time-out
    pub fn wait(&self, timeout: Duration) -> Option<ExitStatus> {
        poll_until(timeout, || self.exit_status())
    }

    /// sends SIGKILL and reaps the process
    pub fn kill(&self) {
        let mut state = self.lock();
        if state.poll().is_none() {
            let _ = state.process.kill();
            state.exit_status = state.process.wait().ok();
        }
    }

    /// sends SIGTERM
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// sends SIGSTOP: connections stay open but carry nothing
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// sends SIGCONT, which ends a [`Child::pause`]
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// current resource usage
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.id)
    }

    /// complete log; empty if it cannot be read
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// last lines of the log under a heading with the name
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let first = lines.len().saturating_sub(TAIL_LINES);
        format!("== {} ==\n{}\n", self.name, lines[first..].join("\n"))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let mut state = self.lock();
        if state.poll().is_some() {
            return Err(io::Error::other(format!(
                "cannot send {signal} to {}: the process has exited",
                self.name
            )));
        }
        kill(Pid::from_raw(self.id as i32), signal).map_err(io::Error::from)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("child process lock poisoned")
    }
}

impl State {
    fn poll(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.process.try_wait().ok().flatten();
        }
        self.exit_status
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
