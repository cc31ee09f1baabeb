//! Following the configuration.
//!
//! The thread holds one watch at a time. The store ends each after a few
//! seconds and a time limit ends it if the store is silent, so a dead
//! connection costs no more than that. During an outage it reads, with growing
//! and jittered delays. Only revisions above the highest seen are handed on, so
//! a stale read never reverts anything.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{SendTimeoutError, Sender};
use rand::Rng;
use schema::objects::Configuration;

use super::OBJECT;
use super::revision::Revision;
use crate::client::{Client, Object, Update};
use crate::error::Error;
use crate::retry::Backoff;

const STOP_CHECK: Duration = Duration::from_millis(50);

/// periods of a watcher
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// how long one watch lasts
    pub watch: Duration,
    /// how often the object is read beside the watch
    pub read: Duration,
    /// first delay after a failure; doubles
    pub first_delay: Duration,
    /// longest delay after failures
    pub most_delay: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            watch: Duration::from_secs(5),
            read: Duration::from_secs(30),
            first_delay: Duration::from_millis(100),
            most_delay: Duration::from_secs(2),
        }
    }
}

/// a thread that hands on revisions; stops when dropped
pub struct Watcher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watcher {
    /// starts to follow with the usual periods
    pub fn start(client: Client, sender: Sender<Arc<Revision>>) -> Self {
        Watcher::start_with(client, sender, Timing::default())
    }

    /// starts to follow with periods of the caller's
    pub fn start_with(client: Client, sender: Sender<Arc<Revision>>, timing: Timing) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let follower = Follower {
            client,
            sender,
            timing,
            stop: Arc::clone(&stop),
            highest: 0,
            version: 0,
        };
        let thread = thread::spawn(move || follower.run());
        Watcher {
            stop,
            thread: Some(thread),
        }
    }

    /// asks the thread to end and does not wait for it
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Drop for Watcher {
    /// asks the thread to end; it may take until the open watch ends
    fn drop(&mut self) {
        self.stop();
        drop(self.thread.take());
    }
}

/// state of the thread
struct Follower {
    client: Client,
    sender: Sender<Arc<Revision>>,
    timing: Timing,
    stop: Arc<AtomicBool>,
    highest: u64,
    version: u64,
}

impl Follower {
    fn run(mut self) {
        let mut backoff = Backoff::new(self.timing.first_delay, self.timing.most_delay);
        let mut read_at = Instant::now();
        while !self.is_stopped() {
            let followed = if Instant::now() >= read_at || self.version == 0 {
                read_at = Instant::now() + self.jittered_read();
                self.read()
            } else {
                self.watch()
            };
            match followed {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    tracing::warn!(event = "config_watch_failed", %error);
                    read_at = Instant::now();
                    self.pause(backoff.delay());
                }
            }
        }
    }

    fn jittered_read(&self) -> Duration {
        self.timing.read.mul_f64(rand::rng().random_range(0.8..1.2))
    }

    fn read(&mut self) -> Result<(), Error> {
        match self.client.get::<Configuration>(OBJECT)? {
            Some(object) => self.note(object),
            None => {
                self.pause(self.timing.first_delay);
                Ok(())
            }
        }
    }

    fn watch(&mut self) -> Result<(), Error> {
        let client = self.client.clone();
        let watch = client.watch::<Configuration>(OBJECT, self.version, self.timing.watch);
        for update in watch? {
            match update? {
                Update::Present(object) => self.note(object)?,
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

    /// hands on what is new and drops what is old
    fn note(&mut self, object: Object<Configuration>) -> Result<(), Error> {
        self.version = self.version.max(object.version);
        let number = object.spec.edit.revision;
        if number <= self.highest {
            return Ok(());
        }
        let revision = Arc::new(Revision::try_from(object)?);
        tracing::info!(event = "config_revision", revision = number, author = %revision.edit.author);
        self.highest = number;
        self.send(revision);
        Ok(())
    }

    fn send(&self, revision: Arc<Revision>) {
        let mut revision = revision;
        while !self.is_stopped() {
            match self.sender.send_timeout(revision, STOP_CHECK) {
                Ok(()) => return,
                Err(SendTimeoutError::Timeout(unsent)) => revision = unsent,
                Err(SendTimeoutError::Disconnected(_)) => {
                    self.stop.store(true, Ordering::SeqCst);
                    return;
                }
            }
        }
    }

    fn pause(&self, delay: Duration) {
        let until = Instant::now() + delay;
        while !self.is_stopped() && Instant::now() < until {
            thread::sleep(STOP_CHECK.min(delay));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}
