//! A thread that follows the configuration.
//!
//! The thread has one watch open at a time. The store closes a watch after a
//! few seconds and a time limit closes it if the store does not respond, so a
//! dead connection delays a new revision by no more than that. During an outage
//! the thread reads with exponential backoff and jitter. Only revisions above
//! the highest one so far are sent on, so a stale read never reverts anything.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{SendTimeoutError, Sender};
use rand::Rng;
use schema::objects::Configuration;

use super::OBJECT_NAME;
use super::revision::Revision;
use crate::client::{Client, Object, Update};
use crate::error::Error;
use crate::retry::Backoff;

/// interval at which blocking operations check whether the thread is to stop
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// durations of a watcher
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// duration of one watch
    pub watch_duration: Duration,
    /// interval of reads in addition to the watch
    pub read_interval: Duration,
    /// delay after the first failure; doubles with each one that follows
    pub first_delay: Duration,
    /// maximum delay after a failure
    pub max_delay: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            watch_duration: Duration::from_secs(5),
            read_interval: Duration::from_secs(30),
            first_delay: Duration::from_millis(100),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// a thread that sends new revisions to a channel; stops when dropped
pub struct Watcher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watcher {
    /// starts the thread with the default timing
    pub fn start(client: Client, sender: Sender<Arc<Revision>>) -> Self {
        Watcher::start_with_timing(client, sender, Timing::default())
    }

    /// starts the thread with the given timing
    pub fn start_with_timing(
        client: Client,
        sender: Sender<Arc<Revision>>,
        timing: Timing,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            client,
            sender,
            timing,
            stop: Arc::clone(&stop),
            highest_revision: 0,
            version: 0,
        };
        let thread = thread::spawn(move || worker.run());
        Watcher {
            stop,
            thread: Some(thread),
        }
    }

    /// asks the thread to stop and does not wait for it
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Drop for Watcher {
    /// asks the thread to stop; it does so when the open watch ends at the latest
    fn drop(&mut self) {
        self.stop();
        drop(self.thread.take());
    }
}

/// state of the thread
struct Worker {
    client: Client,
    sender: Sender<Arc<Revision>>,
    timing: Timing,
    stop: Arc<AtomicBool>,
    /// highest revision sent
    highest_revision: u64,
    /// version of the store to watch from; 0 before the first read
    version: u64,
}

impl Worker {
    fn run(mut self) {
        let mut backoff = Backoff::new(self.timing.first_delay, self.timing.max_delay);
        let mut read_at = Instant::now();
        while !self.is_stopped() {
            let result = if Instant::now() >= read_at || self.version == 0 {
                read_at = Instant::now() + self.jittered_read_interval();
                self.read()
            } else {
                self.watch()
            };
            match result {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    tracing::warn!(event = "config_watch_failed", %error);
                    read_at = Instant::now();
                    self.sleep(backoff.delay());
                }
            }
        }
    }

    fn jittered_read_interval(&self) -> Duration {
        self.timing
            .read_interval
            .mul_f64(rand::rng().random_range(0.8..1.2))
    }

    fn read(&mut self) -> Result<(), Error> {
        match self.client.get::<Configuration>(OBJECT_NAME)? {
            Some(object) => self.receive(object),
            None => {
                self.sleep(self.timing.first_delay);
                Ok(())
            }
        }
    }

    fn watch(&mut self) -> Result<(), Error> {
        let client = self.client.clone();
        let watch =
            client.watch::<Configuration>(OBJECT_NAME, self.version, self.timing.watch_duration);
        for update in watch? {
            match update? {
                Update::Present(object) => self.receive(object)?,
                Update::Removed(version) | Update::Bookmark(version) => {
                    self.version = self.version.max(version);
                }
            }
            if self.is_stopped() {
                break;
            }
        }
        Ok(())
    }

    /// sends a new revision on; ignores older ones
    fn receive(&mut self, object: Object<Configuration>) -> Result<(), Error> {
        self.version = self.version.max(object.version);
        let number = object.spec.edit.revision;
        if number <= self.highest_revision {
            return Ok(());
        }
        let revision = Arc::new(Revision::try_from(object)?);
        tracing::info!(event = "config_revision", revision = number, author = %revision.edit.author);
        self.highest_revision = number;
        self.send(revision);
        Ok(())
    }

    fn send(&self, revision: Arc<Revision>) {
        let mut revision = revision;
        while !self.is_stopped() {
            match self.sender.send_timeout(revision, STOP_CHECK_INTERVAL) {
                Ok(()) => return,
                Err(SendTimeoutError::Timeout(unsent)) => revision = unsent,
                Err(SendTimeoutError::Disconnected(_)) => {
                    self.stop.store(true, Ordering::SeqCst);
                    return;
                }
            }
        }
    }

    fn sleep(&self, delay: Duration) {
        let until = Instant::now() + delay;
        while !self.is_stopped() && Instant::now() < until {
            thread::sleep(STOP_CHECK_INTERVAL.min(delay));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}
