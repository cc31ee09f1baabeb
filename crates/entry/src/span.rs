//! Spans of requests: one for each step on this daemon, joined by the trace id.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use schema::data;
use tokio::time::Instant;

use crate::lock;

/// most requests whose spans are retained
const MAX_REQUESTS: usize = 4096;
/// most spans of one request
const MAX_SPANS_PER_REQUEST: usize = 256;

/// a step of a request
#[apply(data!)]
pub struct Span {
    /// accept, admit, claim, queue, choose, attempt, first_token, move or hand_over
    pub name: &'static str,
    /// start, microseconds since the Unix epoch
    pub start_us: u64,
    /// duration, microseconds
    pub duration_us: u64,
    /// attributes, `key=value` pairs separated by spaces
    pub note: String,
}

/// identifiers of the request that a span belongs to
#[derive(Debug, Clone, Copy)]
pub struct Ids<'a> {
    /// request id
    pub request: &'a str,
    /// W3C trace parent
    pub trace: &'a str,
}

/// spans of recent requests, by request id and by trace id
#[derive(Debug, Default)]
pub struct Log {
    requests: Mutex<Requests>,
}

#[derive(Debug, Default)]
struct Requests {
    spans: HashMap<String, Vec<Span>>,
    order: VecDeque<String>,
    traces: HashMap<String, Vec<String>>,
}

impl Log {
    /// records and logs a span that began at `start` and ends now
    pub fn add(&self, ids: Ids<'_>, name: &'static str, start: Instant, note: &str) {
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
            request = ids.request,
            trace = trace_id(ids.trace),
            duration_us = span.duration_us,
            detail = note,
        );
        lock(&self.requests).add(ids, span);
    }

    /// spans of a request id, or of all requests of a trace id
    pub fn get(&self, id: &str) -> Vec<Span> {
        lock(&self.requests).get(id)
    }
}

impl Requests {
    fn get(&self, id: &str) -> Vec<Span> {
        let direct = self.spans.get(id).into_iter();
        let traced = self.traces.get(id).into_iter().flatten();
        let traced = traced.filter_map(|request| self.spans.get(request));
        direct.chain(traced).flatten().cloned().collect()
    }

    fn add(&mut self, ids: Ids<'_>, span: Span) {
        if let Some(spans) = self.spans.get_mut(ids.request) {
            if spans.len() < MAX_SPANS_PER_REQUEST {
                spans.push(span);
            }
            return;
        }
        if self.order.len() >= MAX_REQUESTS {
            self.evict_oldest();
        }
        self.order.push_back(ids.request.to_owned());
        self.spans.insert(ids.request.to_owned(), vec![span]);
        let trace = trace_id(ids.trace).to_owned();
        if !trace.is_empty() {
            self.traces
                .entry(trace)
                .or_default()
                .push(ids.request.to_owned());
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.spans.remove(&oldest);
        self.traces.retain(|_, requests| {
            requests.retain(|request| *request != oldest);
            !requests.is_empty()
        });
    }
}

/// the trace parent in a caller's header, or a new one if it is missing or invalid
pub fn trace_parent(header: Option<&str>) -> String {
    let valid =
        header.filter(|header| header.split('-').count() >= 4 && !trace_id(header).is_empty());
    match valid {
        Some(header) => header.to_owned(),
        None => {
            let trace: [u8; 16] = rand::random();
            let span: [u8; 8] = rand::random();
            format!("00-{}-{}-01", hex::encode(trace), hex::encode(span))
        }
    }
}

/// the trace id of a W3C trace parent; empty if it has none
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
