//! One child process, ended by its id when dropped.

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

/// lines of a log that [`Child::tail`] gives
const TAIL_LINES: usize = 60;

/// a child process with its log
#[derive(Debug)]
pub struct Child {
    name: String,
    log: PathBuf,
    process: Mutex<Running>,
    id: u32,
}

#[derive(Debug)]
struct Running {
    process: process::Child,
    ended: Option<ExitStatus>,
}

impl Child {
    /// starts a process whose output goes to `FOLDER/NAME.log`
    pub fn spawn(mut command: Command, name: &str, folder: &Path) -> io::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file);
        let process = command.spawn()?;
        let id = process.id();
        let process = Mutex::new(Running {
            process,
            ended: None,
        });
        Ok(Self {
            name: name.to_owned(),
            log,
            process,
            id,
        })
    }

    /// its name
    pub fn name(&self) -> &str {
        &self.name
    }

    /// its process id
    pub fn id(&self) -> u32 {
        self.id
    }

    /// how it ended, if it has
    pub fn ended(&self) -> Option<ExitStatus> {
        self.lock().poll()
    }

    /// waits for its end
    pub fn wait(&self, patience: Duration) -> Option<ExitStatus> {
        poll_until(patience, || self.ended())
    }

    /// ends it at once with SIGKILL
    pub fn kill(&self) {
        let mut running = self.lock();
        if running.poll().is_none() {
            let _ = running.process.kill();
            running.ended = running.process.wait().ok();
        }
    }

    /// asks it to end with SIGTERM
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// stops it with SIGSTOP, so that its connections go silent
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// lets it go on after [`Child::pause`]
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// processor time and memory so far
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.id)
    }

    /// its whole log
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// last lines of its log, under its name
    pub fn tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let first = lines.len().saturating_sub(TAIL_LINES);
        format!("== {} ==\n{}\n", self.name, lines[first..].join("\n"))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let mut running = self.lock();
        if running.poll().is_some() {
            return Err(io::Error::other(format!("{} has ended", self.name)));
        }
        kill(Pid::from_raw(self.id as i32), signal).map_err(io::Error::from)
    }

    fn lock(&self) -> MutexGuard<'_, Running> {
        self.process.lock().expect("process lock")
    }
}

impl Running {
    fn poll(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.process.try_wait().ok().flatten();
        }
        self.ended
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
