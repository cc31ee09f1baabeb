use std::cell::Cell;
use std::rc::Rc;

use http::Version;
use tokio::sync::Notify;
use tokio::time::Instant;

/// activity of one caller connection, from which its time-outs are computed
#[derive(Debug)]
pub(super) struct Activity {
    active_requests: Cell<u32>,
    idle_since: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    has_begun: Cell<bool>,
    request_begun: Notify,
    version: Cell<Version>,
    is_truncated: Cell<bool>,
}

/// marks a request as in progress on a connection; dropped once the response is written
#[derive(Debug)]
pub struct BusyGuard {
    activity: Rc<Activity>,
}

impl Activity {
    pub fn new() -> Rc<Activity> {
        Rc::new(Activity {
            active_requests: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            has_begun: Cell::new(false),
            request_begun: Notify::new(),
            version: Cell::new(Version::HTTP_11),
            is_truncated: Cell::new(false),
        })
    }

    /// records received bytes; outside a request they start the next request head
    pub fn record_read(&self) {
        if self.active_requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// records that a request head is complete; the request lasts until the guard is dropped
    pub fn begin_request(self: &Rc<Self>, version: Version) -> BusyGuard {
        self.version.set(version);
        self.head_since.set(None);
        self.has_begun.set(true);
        self.request_begun.notify_one();
        self.active_requests.set(self.active_requests.get() + 1);
        BusyGuard {
            activity: Rc::clone(self),
        }
    }

    /// whether the connection has to be reset, as its regular end would complete the last response
    pub fn must_reset(&self) -> bool {
        self.is_truncated.get() && self.version.get() < Version::HTTP_11
    }

    /// waits until the connection has had a request and no further one has been received in part
    pub async fn wait_until_closable(&self) {
        while !self.has_begun.get() || self.head_since.get().is_some() {
            self.request_begun.notified().await;
        }
    }

    /// when the first byte of a request head that is still incomplete was received
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// when the last request ended; none while a request is in progress
    pub fn idle_since(&self) -> Option<Instant> {
        (self.active_requests.get() == 0).then(|| self.idle_since.get())
    }
}

impl BusyGuard {
    /// records that the response ends before it is complete
    pub fn record_truncated(&self) {
        self.activity.is_truncated.set(true);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity
            .active_requests
            .set(activity.active_requests.get() - 1);
        activity.idle_since.set(Instant::now());
    }
}
