//! Tickets issued by this daemon and the status of their calls.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use engine::Response;
use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

use super::Name;
use crate::lock;

/// time until a ticket expires
pub(crate) const LIFETIME: Duration = Duration::from_secs(3600);
/// most tickets in the table
const MAX_TICKETS: usize = 20_000;
/// largest response body stored for repeats
const MAX_BODY_BYTES: usize = 64 * 1024;

/// status of the call of a ticket
#[apply(data!)]
pub enum Status {
    /// the caller of [`Table::begin`] has the ticket and runs the call
    Acquired,
    /// it ran, with this response
    Completed(Response),
    /// it is running or may have run
    InProgress,
    /// the ticket was used for a different call
    Mismatch,
    /// the ticket has expired, belongs to another workspace or was never issued
    InvalidTicket,
}

/// tickets issued by this daemon
#[derive(Debug, Default)]
pub struct Table {
    tickets: Mutex<HashMap<Name, Ticket>>,
}

#[derive(Debug)]
struct Ticket {
    workspace: String,
    issued: Instant,
    call: Option<String>,
    response: Option<Response>,
}

impl Table {
    /// issues a ticket to a workspace; `None` when the table is full
    pub fn issue(&self, issuer: u64, workspace: &str, now: Instant) -> Option<Name> {
        let mut tickets = lock(&self.tickets);
        if tickets.len() >= MAX_TICKETS {
            tickets.retain(|_, ticket| now.saturating_duration_since(ticket.issued) < LIFETIME);
        }
        if tickets.len() >= MAX_TICKETS {
            return None;
        }
        let name = Name::new(issuer);
        let ticket = Ticket {
            workspace: workspace.to_owned(),
            issued: now,
            call: None,
            response: None,
        };
        tickets.insert(name.clone(), ticket);
        Some(name)
    }

    /// starts the call of a ticket, or returns its status if it was started before
    ///
    /// `call` identifies the call: its service and the digest of its request.
    pub fn begin(&self, name: &Name, workspace: &str, call: &str, now: Instant) -> Status {
        let mut tickets = lock(&self.tickets);
        let Some(ticket) = tickets.get_mut(name) else {
            return Status::InvalidTicket;
        };
        let is_expired = now.saturating_duration_since(ticket.issued) >= LIFETIME;
        if is_expired || ticket.workspace != workspace {
            return Status::InvalidTicket;
        }
        match (&ticket.call, &ticket.response) {
            (None, _) => {
                ticket.call = Some(call.to_owned());
                Status::Acquired
            }
            (Some(started), _) if started != call => Status::Mismatch,
            (Some(_), Some(response)) => Status::Completed(response.clone()),
            (Some(_), None) => Status::InProgress,
        }
    }

    /// stores the response of a call that ran, unless it is too large
    pub fn finish(&self, name: &Name, response: &Response) {
        if let Some(ticket) = lock(&self.tickets).get_mut(name)
            && response.body.len() <= MAX_BODY_BYTES
        {
            ticket.response = Some(response.clone());
        }
    }

    /// resets a ticket whose call did not run, so that it can be used again
    pub fn release(&self, name: &Name) {
        if let Some(ticket) = lock(&self.tickets).get_mut(name) {
            ticket.call = None;
        }
    }
}
