//! A request in flight.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::journal as wire;
use schema::{data, value};
use tokio::time::Instant;

use super::End;
use crate::lock;
use crate::span::Ids;

/// a request as it was accepted; does not change
#[apply(data!)]
pub struct Origin {
    /// request id, unguessable
    pub id: String,
    /// name of its workspace
    pub workspace: String,
    /// name of the service
    pub service: String,
    /// prompt
    pub prompt: String,
    /// most tokens to generate, over all attempts
    pub max_tokens: u32,
    /// whether it is a chat completion
    pub chat: bool,
    /// from 0, the lowest, to 9
    pub priority: u8,
    /// when this daemon accepted the request, from its caller or from another daemon
    pub accepted: Instant,
    /// time at which the request fails if it is not complete
    pub deadline: Instant,
    /// W3C trace parent
    pub trace: String,
}

/// error for a write that does not belong to the current attempt or position
#[apply(value!)]
pub struct Stale;

/// progress since a reader's last read
#[apply(data!)]
pub struct Progress {
    /// tokens from the requested index on
    pub tokens: Vec<Box<str>>,
    /// how the request ended; none while it is in flight
    pub end: Option<End>,
}

/// a request in flight, shared by its attempts and its readers
#[derive(Debug)]
pub struct Journal {
    /// the request as it was accepted
    pub origin: Origin,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<Box<str>>,
    end: Option<End>,
    ended_at: Option<Instant>,
    attempt: u32,
    stream: Option<wire::Stream>,
    readers: u32,
    unread_since: Option<Instant>,
    driver: u32,
}

impl State {
    /// attempts are numbered from 1
    fn is_current(&self, attempt: u32) -> bool {
        attempt != 0 && self.attempt == attempt && self.end.is_none()
    }
}

impl Origin {
    /// identifiers for its spans
    pub fn span_ids(&self) -> Ids<'_> {
        Ids {
            request: &self.id,
            trace: &self.trace,
        }
    }
}

impl Journal {
    /// a new request
    pub fn new(origin: Origin) -> Journal {
        Journal {
            origin,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// a request that another daemon handed over
    pub fn resume(journal: &wire::Journal, now: Instant) -> Journal {
        let origin = Origin {
            id: journal.id.clone(),
            workspace: journal.workspace.clone(),
            service: journal.service.clone(),
            prompt: journal.prompt.clone(),
            max_tokens: journal.max_tokens,
            chat: journal.chat,
            priority: journal.priority,
            accepted: now,
            deadline: now + Duration::from_millis(journal.deadline_ms),
            trace: journal.trace.clone(),
        };
        let state = State {
            tokens: journal
                .tokens
                .iter()
                .map(|text| text.as_str().into())
                .collect(),
            end: journal.finish.clone().map(End::Finished),
            attempt: journal.attempt,
            stream: journal.stream.clone(),
            unread_since: Some(now),
            ..State::default()
        };
        Journal {
            origin,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// the state that another daemon needs to continue the request
    pub fn export(&self, now: Instant) -> wire::Journal {
        let state = self.state();
        let origin = &self.origin;
        let finish = match &state.end {
            Some(End::Finished(reason)) => Some(reason.clone()),
            _ => None,
        };
        wire::Journal {
            id: origin.id.clone(),
            workspace: origin.workspace.clone(),
            service: origin.service.clone(),
            prompt: origin.prompt.clone(),
            max_tokens: origin.max_tokens,
            tokens: state.tokens.iter().map(|text| text.to_string()).collect(),
            finish,
            chat: origin.chat,
            priority: origin.priority,
            deadline_ms: millis(origin.deadline.saturating_duration_since(now)),
            attempt: state.attempt,
            stream: state.stream.clone(),
            trace: origin.trace.clone(),
        }
    }

    /// begins an attempt and returns its number; writes of older attempts are rejected
    ///
    /// # Errors
    /// [`Stale`] when the request has ended or has another driver.
    pub fn begin_attempt(&self, driver: u32, stream: &wire::Stream) -> Result<u32, Stale> {
        let mut state = self.state();
        if state.end.is_some() || state.driver != driver {
            return Err(Stale);
        }
        state.attempt += 1;
        state.stream = Some(stream.clone());
        Ok(state.attempt)
    }

    /// appends a token; ignores one that is already present
    ///
    /// # Errors
    /// [`Stale`] when the attempt is no longer the current one, the request has ended, or
    /// tokens before this one are missing.
    pub fn push(&self, attempt: u32, index: u32, text: &str) -> Result<(), Stale> {
        let mut state = self.state();
        if !state.is_current(attempt) {
            return Err(Stale);
        }
        let next = state.tokens.len() as u32;
        if index < next {
            return Ok(());
        }
        if index > next {
            return Err(Stale);
        }
        state.tokens.push(text.into());
        self.changed.notify_all();
        Ok(())
    }

    /// ends the request after its last token, for an attempt
    ///
    /// # Errors
    /// [`Stale`] when the attempt is no longer the current one or the request has ended.
    pub fn finish(&self, attempt: u32, reason: &str, now: Instant) -> Result<(), Stale> {
        let mut state = self.state();
        if !state.is_current(attempt) {
            return Err(Stale);
        }
        self.close(&mut state, End::Finished(reason.to_owned()), now);
        Ok(())
    }

    /// ends the request, whatever its attempts do; false if it had already ended
    pub fn end(&self, end: End, now: Instant) -> bool {
        let mut state = self.state();
        if state.end.is_some() {
            return false;
        }
        self.close(&mut state, end, now);
        true
    }

    /// starts a new driver and returns its number; the earlier driver has to stop
    pub fn attach_driver(&self) -> u32 {
        let mut state = self.state();
        state.driver += 1;
        state.driver
    }

    /// detaches the driver and its attempt for a hand-over; false if the request has ended
    pub fn detach_driver(&self) -> bool {
        let mut state = self.state();
        if state.end.is_some() {
            return false;
        }
        state.driver += 1;
        state.attempt += 1;
        true
    }

    /// whether the request is in flight and this driver is the current one
    pub fn is_driven_by(&self, driver: u32) -> bool {
        let state = self.state();
        state.end.is_none() && state.driver == driver
    }

    /// number of the last attempt
    pub fn attempt(&self) -> u32 {
        self.state().attempt
    }

    /// how the request ended; none while it is in flight
    pub fn ended(&self) -> Option<End> {
        self.state().end.clone()
    }

    /// when the request ended; none while it is in flight
    pub fn ended_at(&self) -> Option<Instant> {
        self.state().ended_at
    }

    /// number of tokens so far
    pub fn token_count(&self) -> u32 {
        self.state().tokens.len() as u32
    }

    /// tokens so far
    pub fn tokens(&self) -> Vec<String> {
        self.state()
            .tokens
            .iter()
            .map(|text| text.to_string())
            .collect()
    }

    /// the stream of the current attempt
    pub fn stream(&self) -> Option<wire::Stream> {
        self.state().stream.clone()
    }

    /// waits until there are tokens from index `from` on, or the request has ended
    pub fn wait_for_tokens(&self, from: usize, timeout: Duration) -> Progress {
        let state = self.state();
        let no_progress = |state: &mut State| state.tokens.len() <= from && state.end.is_none();
        let waited = self.changed.wait_timeout_while(state, timeout, no_progress);
        let (state, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        let tokens = state.tokens.get(from..).unwrap_or_default().to_vec();
        Progress {
            tokens,
            end: state.end.clone(),
        }
    }

    /// registers a reader
    pub fn add_reader(&self) {
        let mut state = self.state();
        state.readers += 1;
        state.unread_since = None;
    }

    /// unregisters a reader
    pub fn remove_reader(&self, now: Instant) {
        let mut state = self.state();
        state.readers = state.readers.saturating_sub(1);
        if state.readers == 0 {
            state.unread_since = Some(now);
        }
    }

    /// whether there is a reader
    pub fn has_readers(&self) -> bool {
        self.state().readers > 0
    }

    /// time since the last reader left; zero while there is one
    pub fn unread_time(&self, now: Instant) -> Duration {
        match self.state().unread_since {
            Some(since) => now.saturating_duration_since(since),
            None => Duration::ZERO,
        }
    }

    fn close(&self, state: &mut State, end: End, now: Instant) {
        state.end = Some(end);
        state.ended_at = Some(now);
        self.changed.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
