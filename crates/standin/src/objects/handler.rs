//! State that the request threads share, and the handling of one call.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use schema::objects::{Counts, Document, Faults, List};
use serde::de::DeserializeOwned;
use web::Request;

use super::faults::ActiveFaults;
use super::options::Options;
use super::response::Response;
use super::table::Table;
use super::target::{Query, Target};
use super::token_bucket::TokenBucket;
use super::watch::Watch;

/// largest accepted request body
const MAX_BODY_BYTES: usize = 4 << 20;

/// headers of the response to a watch
const WATCH_HEADERS: [(&str, &str); 2] = [
    ("content-type", "application/json"),
    ("connection", "close"),
];

/// state of the server; at most one lock is held at a time
pub(super) struct Shared {
    table: Mutex<Table>,
    changed: Condvar,
    control: Mutex<Control>,
    stopped: AtomicBool,
    token: Option<String>,
}

/// faults, limits and counts
struct Control {
    faults: ActiveFaults,
    reads: TokenBucket,
    writes: TokenBucket,
    counts: Counts,
}

/// response to a call, or its deliberate loss
enum Outcome {
    Response(Response),
    Lost,
}

impl Shared {
    /// an empty table with the limits of `options`
    pub(super) fn new(options: &Options) -> Self {
        let control = Control {
            faults: ActiveFaults::new(options.delay_ms),
            reads: TokenBucket::new(options.reads_per_second),
            writes: TokenBucket::new(options.writes_per_second),
            counts: Counts {
                reads: 0,
                writes: 0,
                watches: 0,
                open_watches: 0,
                refused: 0,
                lost: 0,
                bytes_in: 0,
            },
        };
        Shared {
            table: Mutex::new(Table::default()),
            changed: Condvar::new(),
            control: Mutex::new(control),
            stopped: AtomicBool::new(false),
            token: options.token.clone(),
        }
    }

    /// locks the objects
    pub(super) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// all objects of a kind, or the one of that name; never stale
    pub(super) fn list(&self, plural: &str, name: Option<&str>) -> List {
        self.table().list(plural, name, false)
    }

    /// waits up to `limit` for a change after `version`; true if the watch is to end
    pub(super) fn wait_for_change(&self, version: u64, limit: Duration) -> bool {
        let table = self.table();
        if table.version() <= version {
            let waited = self.changed.wait_timeout(table, limit);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
        }
        self.is_stopped() || self.control().faults.outage
    }

    /// whether watches send nothing while changes go on
    pub(super) fn has_silent_watches(&self) -> bool {
        self.control().faults.silent_watches
    }

    /// ends all watches
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// whether the server is stopping
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// handles one call
    pub(super) fn handle(&self, mut request: Request) {
        let target = Target::parse(request.target());
        if let Target::Collection { plural, query } = &target
            && query.watch
            && *request.method() == Method::GET
        {
            return self.watch(request, plural, query);
        }
        match self.process(&mut request, &target) {
            Outcome::Response(response) => response.send(request),
            Outcome::Lost => drop(request),
        }
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watch(&self, request: Request, plural: &str, query: &Query) {
        if let Err(response) = self.admit(&request, false) {
            return response.send(request);
        }
        if query.version > 0 && self.table().changes_since(query.version).is_none() {
            let response = Response::failure(410, "Expired", "too old resource version");
            return response.send(request);
        }
        self.control().counts.watches += 1;
        self.control().counts.open_watches += 1;
        let watch = Watch {
            shared: self,
            plural,
            query,
        };
        // An error means that the client closed the connection.
        drop(watch.run(request.stream(200, &WATCH_HEADERS)));
        self.control().counts.open_watches -= 1;
    }

    fn process(&self, request: &mut Request, target: &Target) -> Outcome {
        match (request.method().clone(), target) {
            (Method::POST, Target::Faults) => return Outcome::Response(self.set_faults(request)),
            (Method::GET, Target::Counts) => {
                return Outcome::Response(Response::json(200, &self.control().counts));
            }
            _ => {}
        }
        let is_write = *request.method() != Method::GET;
        if let Err(response) = self.admit(request, is_write) {
            return Outcome::Response(response);
        }
        let delay_ms = self.control().faults.delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if !is_write {
            let stale = self.control().faults.consume_stale_read();
            return Outcome::Response(self.read(target, stale, wants_metadata_only(request)));
        }
        match self.write(request, target) {
            Ok(response) => self.finish_write(response),
            Err(response) => Outcome::Response(response),
        }
    }

    /// counts a call; refuses it during an outage, over the rate limit or without the token
    fn admit(&self, request: &Request, is_write: bool) -> Result<(), Response> {
        let mut control = self.control();
        let now = Instant::now();
        let within_limit = if is_write {
            control.counts.writes += 1;
            control.writes.try_take(now)
        } else {
            control.counts.reads += 1;
            control.reads.try_take(now)
        };
        if control.faults.outage {
            control.counts.refused += 1;
            return Err(Response::failure(
                503,
                "ServiceUnavailable",
                "the store is out",
            ));
        }
        if !within_limit {
            control.counts.refused += 1;
            return Err(Response::failure(
                429,
                "TooManyRequests",
                "over the rate limit",
            ));
        }
        let required = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if required.is_some() && header(request, "Authorization") != required {
            return Err(Response::failure(401, "Unauthorized", "wrong token"));
        }
        Ok(())
    }

    fn read(&self, target: &Target, stale: bool, metadata_only: bool) -> Response {
        let table = self.table();
        match target {
            Target::Object { plural, name } => match table.get(plural, name, stale) {
                Ok(document) => Response::document(200, document, metadata_only),
                Err(response) => response,
            },
            Target::Collection { plural, query } => {
                Response::json(200, &table.list(plural, query.name.as_deref(), stale))
            }
            _ => Response::failure(404, "NotFound", "no such path"),
        }
    }

    fn write(&self, request: &mut Request, target: &Target) -> Result<Response, Response> {
        let method = request.method().clone();
        let metadata_only = wants_metadata_only(request);
        let bytes = self.body(request)?;
        match (method, target) {
            (Method::POST, Target::Collection { plural, .. }) => {
                let document = self.table().create(plural, parse(&bytes)?)?;
                Ok(Response::document(201, &document, metadata_only))
            }
            (Method::PUT, Target::Object { plural, name }) => {
                let document: Document = parse(&bytes)?;
                if document.metadata.name != *name {
                    return Err(Response::failure(400, "BadRequest", "the names differ"));
                }
                let document = self.table().update(plural, document)?;
                Ok(Response::document(200, &document, metadata_only))
            }
            (Method::PATCH, Target::Object { plural, name }) => {
                let document = self.table().patch(plural, name, &parse(&bytes)?)?;
                Ok(Response::document(200, &document, metadata_only))
            }
            (Method::DELETE, Target::Object { plural, name }) => {
                let options: serde_json::Value = parse(&bytes).unwrap_or_default();
                let version = options["preconditions"]["resourceVersion"].as_str();
                let document = self.table().delete(plural, name, version)?;
                Ok(Response::document(200, &document, metadata_only))
            }
            _ => Err(Response::failure(405, "MethodNotAllowed", "no such call")),
        }
    }

    /// wakes the watches, then loses the response if that fault is active
    fn finish_write(&self, response: Response) -> Outcome {
        self.changed.notify_all();
        let mut control = self.control();
        if control.faults.consume_lost_response() {
            control.counts.lost += 1;
            return Outcome::Lost;
        }
        Outcome::Response(response)
    }

    fn body(&self, request: &mut Request) -> Result<Bytes, Response> {
        let read = request.body(MAX_BODY_BYTES);
        let bytes =
            read.map_err(|error| Response::failure(400, "BadRequest", &error.to_string()))?;
        self.control().counts.bytes_in += bytes.len() as u64;
        Ok(bytes)
    }

    fn set_faults(&self, request: &mut Request) -> Response {
        let faults: Result<Faults, Response> = self.body(request).and_then(|bytes| parse(&bytes));
        match faults {
            Ok(faults) => {
                self.control().faults.apply(&faults);
                self.changed.notify_all();
                Response::json(200, &faults)
            }
            Err(response) => response,
        }
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Response> {
    serde_json::from_slice(bytes)
        .map_err(|error| Response::failure(400, "BadRequest", &error.to_string()))
}

/// whether the client asks for the metadata only
fn wants_metadata_only(request: &Request) -> bool {
    let accept = header(request, "Accept").unwrap_or_default();
    accept.contains("as=PartialObjectMetadata")
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_owned)
}
