use std::rc::Rc;
use std::time::Duration;

use route::place::{Done, Outcome, Patience, Work};
use tokio::time::Instant;

use super::request::Request;
use crate::seam::Dialect;
use crate::shared::Shared;

/// a request at a VM; takes itself off the board when dropped
pub(super) struct Flight<D: Dialect> {
    shared: Rc<Shared<D>>,
    service: String,
    id: String,
    work: Work,
    unread: bool,
    outcome: Outcome,
    took: Option<Duration>,
}

impl<D: Dialect> Flight<D> {
    /// puts a request on the board
    pub fn begin(shared: &Rc<Shared<D>>, request: &Request, id: &str, uncached: u32) -> Flight<D> {
        let work = Work {
            unread: uncached,
            held: uncached.saturating_add(request.call.output_tokens()),
        };
        let ask = request.ask(&[], Patience::total(Duration::ZERO));
        let mut board = shared.placement.borrow_mut();
        board.begin(&ask, id, &work, Instant::now());
        drop(board);
        Flight {
            shared: Rc::clone(shared),
            service: request.service.clone(),
            id: id.to_owned(),
            work,
            unread: true,
            outcome: Outcome::Left,
            took: None,
        }
    }

    /// notes that the VM said something
    pub fn heard(&self) {
        let mut board = self.shared.placement.borrow_mut();
        board.heard(&self.service, &self.id, Instant::now());
    }

    /// notes that the first token came
    pub fn first_token(&mut self) {
        if !self.unread {
            return;
        }
        self.unread = false;
        let mut board = self.shared.placement.borrow_mut();
        board.first_token(&self.service, &self.id, &self.work);
    }

    /// sets how it ended
    pub fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// sets how long a plain answer took
    pub fn took(&mut self, took: Duration) {
        self.took = Some(took);
    }
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        self.first_token();
        let done = Done {
            service: &self.service,
            id: &self.id,
            work: &self.work,
            outcome: self.outcome,
            took: self.took,
        };
        self.shared
            .placement
            .borrow_mut()
            .end(&done, Instant::now());
    }
}
