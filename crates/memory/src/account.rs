use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::capacity::Capacity;
use crate::charge::{Charge, Refused};
use crate::holder::{Holder, Waiting};
use crate::select::{Candidate, select};
use crate::stall::{Stall, TICK};

/// the bytes of all connections
#[derive(Debug)]
pub(crate) struct Total {
    capacity: Capacity,
    held: AtomicUsize,
    waiters: AtomicUsize,
    freed: Notify,
}

impl Total {
    fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if self.waiters.load(Ordering::Relaxed) > 0 {
            self.freed.notify_one();
        }
    }
}

/// a connection and its progress
#[derive(Debug)]
struct Entry {
    holder: Arc<Holder>,
    waiting: Waiting,
    stall: Stall,
}

/// bytes that a process holds for its callers
///
/// Connections belong to one thread; their charges may be dropped on any.
#[derive(Debug)]
pub struct Account {
    total: Arc<Total>,
    entries: RefCell<HashMap<u64, Entry>>,
    next_id: Cell<u64>,
    ended: Cell<u64>,
}

impl Account {
    /// an account without connections
    pub fn new(capacity: Capacity) -> Rc<Account> {
        Rc::new(Account {
            total: Arc::new(Total {
                capacity,
                held: AtomicUsize::new(0),
                waiters: AtomicUsize::new(0),
                freed: Notify::new(),
            }),
            entries: RefCell::default(),
            next_id: Cell::new(0),
            ended: Cell::new(0),
        })
    }

    /// most bytes
    pub fn capacity(&self) -> Capacity {
        self.total.capacity
    }

    /// bytes held now
    pub fn held(&self) -> usize {
        self.total.held()
    }

    /// number of connections that lost their memory
    pub fn ended(&self) -> u64 {
        self.ended.get()
    }

    /// adds a connection
    pub fn open(self: &Rc<Self>) -> Hold {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let holder = Arc::new(Holder::new(id));
        let entry = Entry {
            holder: Arc::clone(&holder),
            waiting: Waiting::Nothing,
            stall: Stall::default(),
        };
        self.entries.borrow_mut().insert(id, entry);
        Hold {
            account: Rc::clone(self),
            holder,
        }
    }

    /// compares the progress of all connections; to be called at intervals of [`TICK`]
    pub fn sweep(&self) {
        let mut silent = Vec::new();
        for entry in self.entries.borrow_mut().values_mut() {
            let waiting = entry.holder.waiting();
            if waiting != entry.waiting {
                entry.waiting = waiting;
                entry.stall.reset();
            }
            let is_awaited = waiting != Waiting::Nothing;
            let holder = &entry.holder;
            entry
                .stall
                .record(holder.transferred(), holder.held(), is_awaited);
            if waiting == Waiting::Body && entry.stall.is_silent() {
                silent.push(holder.id);
            }
        }
        self.end(&silent);
    }

    /// ends the connection that has been without progress longest; whether there was one
    ///
    /// Unlike for memory, also one that has sent nothing yet.
    pub fn end_stalled(&self) -> bool {
        let candidates = self.candidates(|_| true);
        let longest = candidates
            .iter()
            .max_by_key(|candidate| candidate.quiet_ticks);
        longest.is_some_and(|candidate| self.end(&[candidate.id]) > 0)
    }

    /// the stalled connections that a filter accepts
    fn candidates(&self, accepts: impl Fn(&Holder) -> bool) -> Vec<Candidate> {
        let entries = self.entries.borrow();
        let stalled = entries.values().filter(|entry| {
            let holder = &entry.holder;
            // what it waits for may have changed since the last sweep
            let is_awaited = holder.waiting() == entry.waiting && entry.waiting != Waiting::Nothing;
            is_awaited && entry.stall.is_stalled() && !holder.is_ended() && accepts(holder)
        });
        let candidates = stalled.map(|entry| Candidate {
            id: entry.holder.id,
            held: entry.holder.held(),
            quiet_ticks: entry.stall.quiet_ticks(),
        });
        candidates.collect()
    }

    /// ends connections and returns how many
    fn end(&self, ids: &[u64]) -> usize {
        let entries = self.entries.borrow();
        let mut count = 0;
        for entry in ids.iter().filter_map(|id| entries.get(id)) {
            if !entry.holder.is_ended() {
                self.total.release(entry.holder.end());
                count += 1;
            }
        }
        self.ended.set(self.ended.get() + count as u64);
        count
    }

    /// adds bytes to the total, after connections without progress were ended if that is needed
    fn try_add(&self, bytes: usize, limit: usize, id: u64) -> bool {
        let after = self.total.held().saturating_add(bytes);
        if after > limit {
            let candidates =
                self.candidates(|holder| holder.id != id && holder.waiting() != Waiting::FirstByte);
            let chosen = select(candidates, after - limit);
            if self.end(&chosen) == 0 || self.total.held().saturating_add(bytes) > limit {
                return false;
            }
        }
        self.total.held.fetch_add(bytes, Ordering::Relaxed);
        true
    }
}

/// one connection of an account
#[derive(Debug)]
pub struct Hold {
    account: Rc<Account>,
    holder: Arc<Holder>,
}

impl Hold {
    /// charges bytes at once
    ///
    /// # Errors
    /// When no memory is left, or the connection has lost its memory.
    pub fn try_charge(&self, bytes: usize) -> Result<Charge, Refused> {
        self.try_charge_up_to(bytes, self.account.capacity().limit_for(bytes))
    }

    fn try_charge_up_to(&self, bytes: usize, limit: usize) -> Result<Charge, Refused> {
        if self.holder.is_ended() {
            return Err(Refused::Ended);
        }
        if !self.account.try_add(bytes, limit, self.holder.id) {
            return Err(Refused::Exhausted);
        }
        self.holder.add(bytes);
        let total = Arc::clone(&self.account.total);
        Ok(Charge::new(total, Arc::clone(&self.holder), bytes))
    }

    /// charges bytes, if need be after others have released theirs, within a time
    ///
    /// # Errors
    /// When no memory became free in time, or the connection has lost its memory.
    pub async fn charge_within(&self, bytes: usize, limit: Duration) -> Result<Charge, Refused> {
        let end = Instant::now() + limit;
        loop {
            match self.try_charge(bytes) {
                Err(Refused::Exhausted) if Instant::now() < end => {
                    // also without a release: others stall meanwhile
                    self.wait_for_release(TICK).await;
                }
                result => return result,
            }
        }
    }

    /// charges bytes of something large at once, of which this is a part
    ///
    /// # Errors
    /// As [`Hold::try_charge`].
    pub fn try_charge_part(&self, bytes: usize) -> Result<Charge, Refused> {
        self.try_charge_up_to(bytes, self.account.capacity().large_limit())
    }

    /// charges bytes of something large once there is memory for them
    ///
    /// # Errors
    /// When the connection has lost its memory.
    pub async fn charge_part(&self, bytes: usize) -> Result<Charge, Refused> {
        loop {
            match self.try_charge_part(bytes) {
                Err(Refused::Exhausted) => self.wait_for_release(TICK).await,
                result => return result,
            }
        }
    }

    /// charges bytes once there is memory for them
    ///
    /// # Errors
    /// When the connection has lost its memory.
    pub async fn charge(&self, bytes: usize) -> Result<Charge, Refused> {
        loop {
            match self.try_charge(bytes) {
                Err(Refused::Exhausted) => self.wait_for_release(TICK).await,
                result => return result,
            }
        }
    }

    async fn wait_for_release(&self, limit: Duration) {
        struct Waiter<'a>(&'a AtomicUsize);
        impl Drop for Waiter<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        let total = &self.account.total;
        total.waiters.fetch_add(1, Ordering::Relaxed);
        let _waiter = Waiter(&total.waiters);
        // an error means that nothing was released, and the caller tries again all the same
        let _ = timeout(limit, total.freed.notified()).await;
    }

    /// records bytes read from the peer or written to it
    pub fn record_transfer(&self, bytes: usize) {
        self.holder.record_transfer(bytes);
    }

    /// states what the connection waits for
    pub fn set_waiting(&self, waiting: Waiting) {
        self.holder.set_waiting(waiting);
    }

    /// what the connection waits for
    pub fn waiting(&self) -> Waiting {
        self.holder.waiting()
    }

    /// takes the memory of the connection, which is to be closed
    pub fn end(&self) {
        self.account.end(&[self.holder.id]);
    }

    /// releases what the connection holds, as it is closed
    pub fn close(&self) {
        self.account.total.release(self.holder.end());
    }

    /// whether the connection has lost its memory
    pub fn is_ended(&self) -> bool {
        self.holder.is_ended()
    }

    /// waits until the connection has lost its memory
    pub async fn ended(&self) {
        loop {
            let ended = self.holder.ended.notified();
            if self.holder.is_ended() {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.entries.borrow_mut().remove(&self.holder.id);
    }
}
