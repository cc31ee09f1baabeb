//! HTTP server of the plain service.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Method;
use macro_rules_attribute::apply;
use schema::message;
use web::Request;
use xxhash_rust::xxh3::xxh3_64;

use super::options::Options;
use crate::http::{
    Listener, Stop, Target, close_connection, error_response, read_bytes, read_json, respond_json,
};

/// one executed call
#[apply(message!)]
pub struct Execution {
    /// number of the call, from 1
    pub sequence: u64,
    /// HTTP method
    pub method: String,
    /// path without the query
    pub path: String,
    /// value of `Idempotency-Key`; empty if there was none
    pub key: String,
    /// xxh3 hash of the body
    pub body_hash: u64,
    /// time of execution, milliseconds since 1970
    pub at: u64,
}

/// body of a response
#[apply(message!)]
pub struct Response {
    /// number of the execution
    pub sequence: u64,
    /// body of the request
    pub echo: String,
}

/// body of `POST /control/faults`; replaces all faults
#[derive(Copy, Default)]
#[apply(message!)]
#[serde(default)]
pub struct Faults {
    /// calls are executed but get no response; their connections stay open
    pub freeze: bool,
    /// calls are refused without being executed, with `x-not-run: true`
    pub refuse: bool,
    /// how many of the next calls have their connection closed before they are executed
    pub close_before: u32,
    /// how many of the next calls are executed, but have their connection closed without a response
    pub die_after: u32,
    /// how many of the next calls are executed, but fail with status 500
    pub error_after: u32,
    /// time added between execution and response, milliseconds
    pub slow_ms: u64,
}

/// a running plain service; stops on drop
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    stop: Stop,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    record: Vec<Execution>,
}

impl Server {
    /// starts a plain service
    pub fn start(options: Options) -> io::Result<Self> {
        let stop = Stop::default();
        let listen = options.listen.clone();
        let state = Mutex::default();
        let shared = Arc::new(Shared {
            options,
            stop: stop.clone(),
            state,
        });
        let handler = Arc::clone(&shared);
        let listener = Listener::start(&listen, &stop, move |request| route(&handler, request))?;
        Ok(Self { listener, shared })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// blocks until [`Server::kill`] stops it
    pub fn wait(&self) {
        self.shared.stop.wait();
    }

    /// stops it at once
    pub fn kill(&self) {
        self.shared.stop.set();
    }

    /// replaces all faults
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// all executed calls, in order
    pub fn record(&self) -> Vec<Execution> {
        self.shared.lock().record.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state lock poisoned")
    }

    fn execute(&self, request: &Request, path: &str, body: &[u8]) -> u64 {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut state = self.lock();
        let sequence = state.record.len() as u64 + 1;
        state.record.push(Execution {
            sequence,
            method: request.method().to_string(),
            path: path.to_owned(),
            key: idempotency_key(request),
            body_hash: xxh3_64(body),
            at: since_epoch.as_millis() as u64,
        });
        sequence
    }
}

fn route(shared: &Shared, mut request: Request) {
    let Some(target) = Target::from_request(&request) else {
        return error_response(400, "malformed", "the path can't be parsed", true).send(request);
    };
    let method = request.method().clone();
    match (method, target.path()) {
        (Method::GET, "/control/record") => {
            let record = shared.lock().record.clone();
            respond_json(request, 200, &record);
        }
        (Method::POST, "/control/faults") => match read_json::<Faults>(&mut request) {
            Ok(faults) => {
                shared.lock().faults = faults;
                respond_json(request, 200, &faults);
            }
            Err(response) => response.send(request),
        },
        (_, path) => serve(shared, request, path),
    }
}

fn serve(shared: &Shared, mut request: Request, path: &str) {
    let faults = shared.lock().faults;
    if faults.refuse {
        return error_response(503, "refused", "the service refuses work", true).send(request);
    }
    if consume(&mut shared.lock().faults.close_before) {
        return close_connection(request);
    }
    let Ok(body) = read_bytes(&mut request) else {
        return close_connection(request);
    };
    let sequence = shared.execute(&request, path, &body);
    if faults.freeze {
        return shared.stop.wait();
    }
    if consume(&mut shared.lock().faults.die_after) {
        return close_connection(request);
    }
    if shared.stop.wait_for(Duration::from_millis(
        shared.options.delay_ms + faults.slow_ms,
    )) {
        return close_connection(request);
    }
    if consume(&mut shared.lock().faults.error_after) {
        return error_response(500, "failed", "the service failed while it ran", false)
            .send(request);
    }
    let echo = String::from_utf8_lossy(&body).into_owned();
    respond_json(request, 200, &Response { sequence, echo });
}

fn idempotency_key(request: &Request) -> String {
    let key = request.header("idempotency-key");
    key.unwrap_or_default().to_owned()
}

/// takes one from the number of remaining faults; false if there is none left
fn consume(remaining: &mut u32) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}
