//! Acquires, renews and releases a lease in the store.

use std::sync::{Arc, PoisonError, RwLock};

use schema::failure::Verdict;
use schema::objects::Lease as LeaseSpec;
use tokio::time::Instant;

use super::protocol::{Action, Protocol, Snapshot, Term, Timing, Write};
use crate::client::{Client, Object};
use crate::error::Error;

/// maximum calls for one acquisition, renewal or release
const MAX_CALLS: usize = 6;

/// shared view of whether the lease is held; clones see the same term
#[derive(Debug, Clone, Default)]
pub struct Handle {
    term: Arc<RwLock<Option<Term>>>,
}

impl Handle {
    /// the fencing token if the lease is held at `now`; check right before each use
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        let term = self.term.read().unwrap_or_else(PoisonError::into_inner);
        term.and_then(|term| term.fence_if_valid(now))
    }

    /// the current term, valid or expired
    pub fn term(&self) -> Option<Term> {
        *self.term.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, term: Option<Term>) {
        *self.term.write().unwrap_or_else(PoisonError::into_inner) = term;
    }
}

/// a candidate for a named lease, or its holder
#[derive(Debug)]
pub struct Lease {
    client: Client,
    name: String,
    protocol: Protocol,
    handle: Handle,
}

impl Lease {
    /// a lease that is not held yet; `instance` is unique to this run of the process
    pub fn new(client: Client, name: &str, instance: &str, timing: Timing) -> Self {
        Lease {
            client,
            name: name.to_owned(),
            protocol: Protocol::new(instance, timing),
            handle: Handle::default(),
        }
    }

    /// a handle to check whether the lease is held
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// acquires the lease if it is free, renews it if that is due; returns when to poll again
    ///
    /// # Errors
    /// When a call fails; poll again after a delay.
    pub fn poll(&mut self) -> Result<Instant, Error> {
        for _ in 0..MAX_CALLS {
            let nonce = hex::encode(rand::random::<[u8; 16]>());
            match self.protocol.next(Instant::now(), &nonce) {
                Action::Wait(until) => return Ok(until),
                Action::Read => self.read()?,
                Action::Write(write) => self.write(&write)?,
            }
        }
        Err(Error::Stale)
    }

    /// tries to acquire or renew the lease now; the fencing token if it is held afterwards
    ///
    /// # Errors
    /// When a call fails.
    pub fn acquire(&mut self) -> Result<Option<u64>, Error> {
        self.poll()?;
        Ok(self.handle.fence_if_valid(Instant::now()))
    }

    /// the fencing token if the lease is held at `now`
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        self.handle.fence_if_valid(now)
    }

    /// releases the lease, so that a successor can acquire it at once; from the call on it
    /// is not held, whatever the result
    ///
    /// # Errors
    /// When a call fails; the successor then waits until the lease expires.
    pub fn release(&mut self) -> Result<(), Error> {
        self.handle.set(None);
        let nonce = hex::encode(rand::random::<[u8; 16]>());
        self.protocol.release(Instant::now(), &nonce);
        for _ in 0..MAX_CALLS {
            if self.protocol.is_released() {
                return Ok(());
            }
            match self.protocol.next(Instant::now(), &nonce) {
                Action::Wait(_) => return Ok(()),
                Action::Read => self.read()?,
                Action::Write(write) => self.write(&write)?,
            }
        }
        Err(Error::Stale)
    }

    fn read(&mut self) -> Result<(), Error> {
        let snapshot = match self.client.get::<LeaseSpec>(&self.name)? {
            Some(object) => Snapshot {
                version: object.version,
                spec: Some(object.spec),
            },
            None => self.read_list()?,
        };
        self.protocol.on_read(snapshot, Instant::now());
        self.handle.set(self.protocol.term());
        Ok(())
    }

    /// the state of a missing object, with the version of the list that does not contain it
    fn read_list(&self) -> Result<Snapshot, Error> {
        let list = self.client.list::<LeaseSpec>()?;
        let found = list.items.into_iter().find(|item| item.name == self.name);
        Ok(match found {
            Some(object) => Snapshot {
                version: object.version,
                spec: Some(object.spec),
            },
            None => Snapshot {
                version: list.version,
                spec: None,
            },
        })
    }

    fn write(&mut self, write: &Write) -> Result<(), Error> {
        let result = self.send(write);
        match &result {
            Ok(version) => self.protocol.on_written(*version, Instant::now()),
            Err(Error::Conflict | Error::AlreadyExists | Error::NotFound) => {
                self.protocol.on_conflict()
            }
            Err(error) if error.verdict() == Verdict::NotRun => self.protocol.on_not_run(),
            Err(_) => self.protocol.on_unknown(),
        }
        self.handle.set(self.protocol.term());
        match result {
            Ok(_) => Ok(()),
            Err(Error::Conflict | Error::AlreadyExists | Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn send(&self, write: &Write) -> Result<u64, Error> {
        let mut object = Object::new(&self.name, write.spec.clone());
        if write.create {
            return self.client.create(&object);
        }
        object.version = write.base;
        self.client.update(&object)
    }
}
