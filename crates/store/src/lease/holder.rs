//! A lease in the store.

use std::sync::{Arc, PoisonError, RwLock};

use schema::failure::Verdict;
use schema::objects::Lease as Content;
use tokio::time::Instant;

use super::machine::{Action, Machine, Seen, Term, Timing, Write};
use crate::client::{Client, Object};
use crate::error::Error;

/// most calls of one acquisition, renewal or release
const MOST_CALLS: usize = 6;

/// what others ask whether the lease is held; cheap to clone
#[derive(Debug, Clone, Default)]
pub struct Guard {
    term: Arc<RwLock<Option<Term>>>,
}

impl Guard {
    /// the fencing number if the lease is held at `now`; ask right before each order
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        let term = self.term.read().unwrap_or_else(PoisonError::into_inner);
        term.and_then(|term| term.fence_if_valid(now))
    }

    /// the term, valid or lapsed
    pub fn term(&self) -> Option<Term> {
        *self.term.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, term: Option<Term>) {
        *self.term.write().unwrap_or_else(PoisonError::into_inner) = term;
    }
}

/// one who wants or holds the lease of a name
#[derive(Debug)]
pub struct Lease {
    client: Client,
    name: String,
    machine: Machine,
    guard: Guard,
}

impl Lease {
    /// a lease that is not held yet; `instance` names this process's run
    pub fn new(client: Client, name: &str, instance: &str, timing: Timing) -> Self {
        Lease {
            client,
            name: name.to_owned(),
            machine: Machine::new(instance, timing),
            guard: Guard::default(),
        }
    }

    /// a handle for those who give orders
    pub fn guard(&self) -> Guard {
        self.guard.clone()
    }

    /// acquires the lease if it is free, renews it if that is due, and returns
    /// when to call again
    ///
    /// # Errors
    /// When a call fails; call again after a delay.
    pub fn poll(&mut self) -> Result<Instant, Error> {
        for _ in 0..MOST_CALLS {
            let nonce = hex::encode(rand::random::<[u8; 16]>());
            match self.machine.next(Instant::now(), &nonce) {
                Action::Wait(until) => return Ok(until),
                Action::Read => self.read()?,
                Action::Write(write) => self.write(&write)?,
            }
        }
        Err(Error::Stale)
    }

    /// tries to acquire the lease now; the fencing number if it is held after that
    ///
    /// # Errors
    /// When a call fails.
    pub fn acquire(&mut self) -> Result<Option<u64>, Error> {
        self.poll()?;
        Ok(self.guard.fence_if_valid(Instant::now()))
    }

    /// the fencing number if the lease is held at `now`
    pub fn fence_if_valid(&self, now: Instant) -> Option<u64> {
        self.guard.fence_if_valid(now)
    }

    /// gives the lease back, so that a successor need not wait; it is not held
    /// from the call on, whatever its result
    ///
    /// # Errors
    /// When a call fails; the successor then waits the lease out.
    pub fn release(&mut self) -> Result<(), Error> {
        self.guard.set(None);
        let nonce = hex::encode(rand::random::<[u8; 16]>());
        self.machine.release(Instant::now(), &nonce);
        for _ in 0..MOST_CALLS {
            if self.machine.is_released() {
                return Ok(());
            }
            match self.machine.next(Instant::now(), &nonce) {
                Action::Wait(_) => return Ok(()),
                Action::Read => self.read()?,
                Action::Write(write) => self.write(&write)?,
            }
        }
        Err(Error::Stale)
    }

    fn read(&mut self) -> Result<(), Error> {
        let seen = match self.client.get::<Content>(&self.name)? {
            Some(object) => Seen {
                version: object.version,
                spec: Some(object.spec),
            },
            None => self.absent()?,
        };
        self.machine.on_read(seen, Instant::now());
        self.guard.set(self.machine.term());
        Ok(())
    }

    /// the state of a missing object, with the version of the list that lacks it
    fn absent(&self) -> Result<Seen, Error> {
        let list = self.client.list::<Content>()?;
        let found = list.items.into_iter().find(|item| item.name == self.name);
        Ok(match found {
            Some(object) => Seen {
                version: object.version,
                spec: Some(object.spec),
            },
            None => Seen {
                version: list.version,
                spec: None,
            },
        })
    }

    fn write(&mut self, write: &Write) -> Result<(), Error> {
        let result = self.send(write);
        match &result {
            Ok(version) => self.machine.on_written(*version, Instant::now()),
            Err(Error::Conflict | Error::Exists | Error::Missing) => self.machine.on_conflict(),
            Err(error) if error.verdict() == Verdict::NotRun => self.machine.on_not_run(),
            Err(_) => self.machine.on_unknown(),
        }
        self.guard.set(self.machine.term());
        match result {
            Ok(_) => Ok(()),
            Err(Error::Conflict | Error::Exists | Error::Missing) => Ok(()),
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
