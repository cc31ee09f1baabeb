//! Spans of requests: one per hop, joined by the trace id.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

use crate::lock;

/// most requests whose spans are kept
const MOST_REQUESTS: usize = 4096;
/// most spans kept of one request
const MOST_SPANS: usize = 256;

/// a hop of a request
#[apply(data!)]
pub struct Span {
    /// accept, admit, queue, choose, attempt, first_token, hand_over
    pub name: &'static str,
    /// start, microseconds since 1970
    pub start_us: u64,
    /// length, microseconds
    pub duration_us: u64,
    /// key=value pairs
    pub note: String,
}

/// the request that a span belongs to
#[derive(Debug, Clone, Copy)]
pub struct Hop<'a> {
    /// request id
    pub request: &'a str,
    /// W3C trace parent
    pub trace: &'a str,
}

/// spans of the last requests, by request id
#[derive(Debug, Default)]
pub struct Log {
    requests: Mutex<Requests>,
}

#[derive(Debug, Default)]
struct Requests {
    spans: HashMap<String, Vec<Span>>,
    order: VecDeque<String>,
}

impl Log {
    /// adds a span that began at `start` and ends now
    pub fn add(&self, hop: Hop<'_>, name: &'static str, start: Instant, note: &str) {
        let duration = start.elapsed();
        let span = Span {
            name,
            start_us: micros(since_epoch().saturating_sub(duration)),
            duration_us: micros(duration),
            note: note.to_owned(),
        };
        tracing::info!(
            event = "span",
            span = name,
            request = hop.request,
            trace = trace_id(hop.trace),
            duration_us = span.duration_us,
            detail = note,
        );
        lock(&self.requests).add(hop.request, span);
    }

    /// spans of a request
    pub fn get(&self, request: &str) -> Vec<Span> {
        lock(&self.requests)
            .spans
            .get(request)
            .cloned()
            .unwrap_or_default()
    }
}

impl Requests {
    fn add(&mut self, request: &str, span: Span) {
        if let Some(spans) = self.spans.get_mut(request) {
            if spans.len() < MOST_SPANS {
                spans.push(span);
            }
            return;
        }
        if self.order.len() >= MOST_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.spans.remove(&oldest);
        }
        self.order.push_back(request.to_owned());
        self.spans.insert(request.to_owned(), vec![span]);
    }
}

/// the trace id of a W3C trace parent
pub fn trace_id(parent: &str) -> &str {
    parent.split('-').nth(1).unwrap_or("")
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
