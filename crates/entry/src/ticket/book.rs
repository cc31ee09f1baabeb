//! The tickets that this daemon issued and what became of them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use engine::Answer;
use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

use super::Name;
use crate::lock;

/// time for which a ticket is good
pub(crate) const LIFE: Duration = Duration::from_secs(3600);
/// most tickets kept
const MOST_TICKETS: usize = 20_000;
/// longest answer kept for repeats, bytes
const MOST_ANSWER_BYTES: usize = 64 * 1024;

/// what is known of the call of a ticket
#[apply(data!)]
pub enum Standing {
    /// the caller of [`Book::begin`] runs it
    Mine,
    /// it ran, with this answer
    Done(Answer),
    /// it is under way or its outcome is not known
    Unsure,
    /// the ticket was used for a different call
    Mismatch,
    /// the ticket lapsed or belongs to another workspace
    Unknown,
}

/// the tickets that this daemon issued
#[derive(Debug, Default)]
pub struct Book {
    tickets: Mutex<HashMap<Name, Ticket>>,
}

#[derive(Debug)]
struct Ticket {
    workspace: String,
    issued: Instant,
    call: Option<String>,
    answer: Option<Answer>,
}

impl Book {
    /// issues a ticket to a workspace; `None` when too many are out
    pub fn issue(&self, issuer: u64, workspace: &str, now: Instant) -> Option<Name> {
        let mut tickets = lock(&self.tickets);
        if tickets.len() >= MOST_TICKETS {
            tickets.retain(|_, ticket| now.saturating_duration_since(ticket.issued) < LIFE);
        }
        if tickets.len() >= MOST_TICKETS {
            return None;
        }
        let name = Name::new(issuer);
        let ticket = Ticket {
            workspace: workspace.to_owned(),
            issued: now,
            call: None,
            answer: None,
        };
        tickets.insert(name.clone(), ticket);
        Some(name)
    }

    /// begins the call of a ticket, or tells what became of it
    pub fn begin(&self, name: &Name, workspace: &str, call: &str, now: Instant) -> Standing {
        let mut tickets = lock(&self.tickets);
        let Some(ticket) = tickets.get_mut(name) else {
            return Standing::Unknown;
        };
        let lapsed = now.saturating_duration_since(ticket.issued) >= LIFE;
        if lapsed || ticket.workspace != workspace {
            return Standing::Unknown;
        }
        match (&ticket.call, &ticket.answer) {
            (None, _) => {
                ticket.call = Some(call.to_owned());
                Standing::Mine
            }
            (Some(known), _) if known != call => Standing::Mismatch,
            (Some(_), Some(answer)) => Standing::Done(answer.clone()),
            (Some(_), None) => Standing::Unsure,
        }
    }

    /// keeps the answer of a call that ran
    pub fn finish(&self, name: &Name, answer: &Answer) {
        if let Some(ticket) = lock(&self.tickets).get_mut(name)
            && answer.body.len() <= MOST_ANSWER_BYTES
        {
            ticket.answer = Some(answer.clone());
        }
    }

    /// frees a ticket whose call did not run
    pub fn release(&self, name: &Name) {
        if let Some(ticket) = lock(&self.tickets).get_mut(name) {
            ticket.call = None;
        }
    }
}
