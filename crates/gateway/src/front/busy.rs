use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

/// what a connection is doing
#[derive(Debug)]
pub(super) struct Activity {
    requests: Cell<u32>,
    idle_since: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    begun: Cell<bool>,
    first: Notify,
}

/// keeps a connection busy until an answer is out
#[derive(Debug)]
pub struct Busy {
    activity: Rc<Activity>,
}

impl Activity {
    pub fn new() -> Rc<Activity> {
        Rc::new(Activity {
            requests: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            begun: Cell::new(false),
            first: Notify::new(),
        })
    }

    /// notes that bytes came
    pub fn read(&self) {
        if self.requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// notes that the head of a request is complete
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.head_since.set(None);
        if !self.begun.replace(true) {
            self.first.notify_one();
        }
        self.requests.set(self.requests.get() + 1);
        Busy {
            activity: Rc::clone(self),
        }
    }

    /// waits until the first request has begun
    pub async fn first(&self) {
        if !self.begun.get() {
            self.first.notified().await;
        }
    }

    /// since when the head of a request has been coming
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// since when no request has been served, if none is
    pub fn idle_since(&self) -> Option<Instant> {
        (self.requests.get() == 0).then(|| self.idle_since.get())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity.requests.set(activity.requests.get() - 1);
        activity.idle_since.set(Instant::now());
    }
}
