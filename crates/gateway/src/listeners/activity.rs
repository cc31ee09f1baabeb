use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::Version;
use memory::{Charge, Hold, Overhead, Waiting};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// bytes of a head up to which it is part of what any connection holds
const FREE_HEAD_BYTES: usize = 4096;

/// memory that a byte of a head takes: the buffer that it is read into is moved as it grows
const HEAD_CHARGE_FACTOR: usize = 2;

/// activity of one caller connection, from which its time-outs are computed
#[derive(Debug)]
pub(crate) struct Activity {
    /// memory of the connection
    pub hold: Rc<Hold>,
    /// framing and payload of the body that is read
    overhead: Overhead,
    head_bytes: Cell<usize>,
    head_charge: RefCell<Option<Charge>>,
    /// whether the body of the last request was not read to its end
    has_unread_body: Cell<bool>,
    /// the connection after the end of the last response, if there is an unread body
    pub(super) remains: RefCell<Option<TcpStream>>,
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
    pub fn new(hold: Hold) -> Rc<Activity> {
        Rc::new(Activity {
            hold: Rc::new(hold),
            overhead: Overhead::default(),
            head_bytes: Cell::new(0),
            head_charge: RefCell::default(),
            has_unread_body: Cell::new(false),
            remains: RefCell::default(),
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
    ///
    /// Returns false if the connection is to be closed: there is no memory for the head, or a body
    /// consists of framing.
    #[must_use]
    pub fn record_read(&self, bytes: usize) -> bool {
        self.hold.record_transfer(bytes);
        if self.active_requests.get() > 0 {
            self.overhead.record_received(bytes);
            let is_body = self.hold.waiting() == Waiting::Body;
            return !(is_body && self.overhead.is_excessive());
        }
        if self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
            self.hold.set_waiting(Waiting::Head);
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
        self.charge_head()
    }

    /// charges an incomplete head; whether there is memory for it
    fn charge_head(&self) -> bool {
        let bytes = self.head_bytes.get();
        if bytes <= FREE_HEAD_BYTES {
            return true;
        }
        let mut head_charge = self.head_charge.borrow_mut();
        let charged = head_charge.as_ref().map_or(0, Charge::bytes);
        let needed = (bytes * HEAD_CHARGE_FACTOR).saturating_sub(charged);
        let Ok(charge) = self.hold.try_charge(needed) else {
            return false;
        };
        match &mut *head_charge {
            Some(head_charge) => head_charge.merge(charge),
            None => *head_charge = Some(charge),
        }
        true
    }

    /// begins to read a body
    pub fn begin_body(&self) {
        self.overhead.reset();
        self.has_unread_body.set(true);
        self.hold.set_waiting(Waiting::Body);
    }

    /// records bytes of the decoded body
    pub fn record_payload(&self, bytes: usize) {
        self.overhead.record_payload(bytes);
    }

    /// ends the reading of a body
    pub fn end_body(&self, is_complete: bool) {
        self.has_unread_body.set(!is_complete);
        self.hold.set_waiting(Waiting::Nothing);
    }

    /// records that the body of a request was left unread
    pub fn record_unread_body(&self) {
        self.has_unread_body.set(true);
    }

    /// whether the last request has bytes that were not read, so that the connection must not be
    /// closed at once: the caller would not get the response
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// records that a write waits for the caller to read, or no longer does
    pub fn record_write(&self, written: Option<usize>) {
        match written {
            Some(bytes) => {
                self.hold.record_transfer(bytes);
                if self.hold.waiting() == Waiting::Reading {
                    self.hold.set_waiting(Waiting::Nothing);
                }
            }
            None if self.hold.waiting() == Waiting::Nothing => {
                self.hold.set_waiting(Waiting::Reading);
            }
            None => {}
        }
    }

    /// records that a request head is complete; the request lasts until the guard is dropped
    pub fn begin_request(self: &Rc<Self>, version: Version) -> BusyGuard {
        self.version.set(version);
        self.head_since.set(None);
        self.has_begun.set(true);
        self.has_unread_body.set(false);
        self.hold.set_waiting(Waiting::Nothing);
        self.request_begun.notify_one();
        self.active_requests.set(self.active_requests.get() + 1);
        BusyGuard {
            activity: Rc::clone(self),
        }
    }

    /// records that a response ends before it is complete
    pub fn record_truncated(&self) {
        self.is_truncated.set(true);
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
    /// activity of the connection
    pub(crate) fn activity(&self) -> &Rc<Activity> {
        &self.activity
    }

    /// records that the response ends before it is complete
    pub fn record_truncated(&self) {
        self.activity.record_truncated();
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity
            .active_requests
            .set(activity.active_requests.get() - 1);
        activity.idle_since.set(Instant::now());
        activity.head_bytes.set(0);
        // header values refer to the buffer of the head for as long as the request lasts
        drop(activity.head_charge.take());
    }
}
