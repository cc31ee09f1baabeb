//! HTTP server of the cloud API.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http::Method;
use schema::cloud::{List, Notices, Prices, Start};
use serde::Serialize;
use web::Request;

use super::control::{Bill, Faults, Reclaim, Registration};
use super::options::Options;
use super::state::{ForwardedNotice, Rejection, State};
use crate::engine;
use crate::http::{
    Listener, Stop, Target, close_connection, error_response, read_json, respond_json,
};

/// interval at which VMs become live and are removed
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// maximum time for which a request waits for a notice
const MAX_WAIT_MS: u64 = 60_000;

/// time limit for forwarding a notice to a VM
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// a running cloud API; stops on drop
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    shared: Arc<Shared>,
    tick_thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    stop: Stop,
    state: Mutex<State>,
    notice_added: Condvar,
}

impl Server {
    /// starts a cloud API
    pub fn start(options: Options) -> io::Result<Self> {
        Self::start_with_engine_options(options, engine::Options::default())
    }

    /// starts a cloud API whose started VMs run engines with these settings
    pub fn start_with_engine_options(
        options: Options,
        engine: engine::Options,
    ) -> io::Result<Self> {
        let stop = Stop::default();
        let listen = options.listen.clone();
        let state = Mutex::new(State::new(options, engine));
        let shared = Arc::new(Shared {
            stop: stop.clone(),
            state,
            notice_added: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let listener = Listener::start(&listen, &stop, move |request| route(&handler, request))?;
        let ticking = Arc::clone(&shared);
        let tick_thread = thread::Builder::new()
            .name("ticks".to_owned())
            .spawn(move || {
                while !ticking.stop.wait_for(TICK_PERIOD) {
                    ticking.lock().advance();
                }
            })?;
        Ok(Self {
            listener,
            shared,
            tick_thread: Some(tick_thread),
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// blocks until it stops
    pub fn wait(&self) {
        self.shared.stop.wait();
    }

    /// adds a VM that the caller runs itself
    pub fn register(&self, registration: Registration) {
        self.shared.lock().register(registration);
    }

    /// the list of VMs as clients see it now, delayed by `lag_ms`
    pub fn list(&self) -> List {
        self.shared.lock().list()
    }

    /// reclaims VMs: delivers preemption notices and removes them later
    pub fn reclaim(&self, reclaim: &Reclaim) {
        self.shared.reclaim(reclaim);
    }

    /// replaces all faults
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// replaces all prices
    pub fn set_prices(&self, prices: Prices) {
        self.shared.lock().set_prices(prices);
    }

    /// cost of all VMs so far
    pub fn bill(&self) -> Bill {
        self.shared.lock().bill()
    }

    /// calls `run` with the engine of a VM; `None` if the VM has none
    pub fn with_engine<T>(&self, vm: &str, run: impl FnOnce(&engine::Server) -> T) -> Option<T> {
        self.shared.lock().with_engine(vm, run)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop.set();
        if let Some(tick_thread) = self.tick_thread.take() {
            let _ = tick_thread.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("state lock poisoned")
    }

    fn reclaim(&self, reclaim: &Reclaim) {
        let forwards = self.lock().reclaim(reclaim);
        self.notice_added.notify_all();
        for forward in forwards {
            thread::spawn(move || forward_notice(&forward));
        }
    }

    fn wait_for_notices(&self, since: u64, wait: Duration) -> Notices {
        let has_none = |state: &mut State| state.notices(since).is_empty();
        let waited = self
            .notice_added
            .wait_timeout_while(self.lock(), wait, has_none);
        let (state, _) = waited.expect("state lock poisoned");
        Notices {
            notices: state.notices(since),
        }
    }

    /// whether to lose the response to a change; takes one from `lose_answers`
    fn consume_lost_response(&self) -> bool {
        let mut state = self.lock();
        let remaining = state.faults.lose_answers;
        state.faults.lose_answers = remaining.saturating_sub(1);
        remaining > 0
    }

    /// responds to a change, unless the response is to be lost
    fn respond_to_change<T: Serialize>(&self, request: Request, status: u16, body: &T) {
        if self.consume_lost_response() {
            return close_connection(request);
        }
        respond_json(request, status, body);
    }
}

fn forward_notice(forward: &ForwardedNotice) {
    let notice = engine::Notice {
        seconds: f64::from(forward.seconds),
    };
    let url = format!("http://{}/control/notice", forward.address);
    let request = attohttpc::post(url).timeout(FORWARD_TIMEOUT).json(&notice);
    if let Err(error) = request.and_then(attohttpc::RequestBuilder::send) {
        tracing::warn!(address = forward.address, %error, "failed to forward a preemption notice");
    }
}

fn route(shared: &Shared, request: Request) {
    let Some(target) = Target::from_request(&request) else {
        return error_response(400, "malformed", "the path can't be parsed", true).send(request);
    };
    let method = request.method().clone();
    if let ["control", action] = target.segments().as_slice() {
        return control(shared, request, &method, action);
    }
    let faults = shared.lock().faults.clone();
    if shared.stop.wait_for(Duration::from_millis(faults.delay_ms)) {
        return close_connection(request);
    }
    if faults.outage {
        return error_response(503, "outage", "the cloud API is down", false).send(request);
    }
    match (method, target.segments().as_slice()) {
        (Method::GET, ["v1", "vms"]) => {
            let list = shared.lock().list();
            respond_json(request, 200, &list);
        }
        (Method::PUT, ["v1", "vms", name]) => start_vm(shared, request, name),
        (Method::DELETE, ["v1", "vms", name]) => {
            if shared.lock().remove(name) {
                shared.respond_to_change(request, 200, name);
            } else {
                error_response(404, "unknown_vm", "there is no such VM", true).send(request);
            }
        }
        (Method::GET, ["v1", "notices"]) => {
            let since = target.query("since").unwrap_or(0);
            let wait_ms = target.query("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
            let notices = shared.wait_for_notices(since, Duration::from_millis(wait_ms));
            respond_json(request, 200, &notices);
        }
        (Method::GET, ["v1", "prices"]) => {
            let prices = shared.lock().prices();
            respond_json(request, 200, &prices);
        }
        _ => error_response(404, "unknown_path", "there is no such path", true).send(request),
    }
}

fn start_vm(shared: &Shared, mut request: Request, name: &str) {
    let body = match read_json::<Start>(&mut request) {
        Ok(body) => body,
        Err(response) => return response.send(request),
    };
    let started = shared.lock().start(name, &body);
    match started {
        Ok((vm, true)) => shared.respond_to_change(request, 201, &vm),
        Ok((vm, false)) => shared.respond_to_change(request, 200, &vm),
        Err(Rejection::NoCapacity) => {
            error_response(503, "capacity", "there is no such VM to be had", true).send(request);
        }
        Err(Rejection::NameTaken) => {
            error_response(
                409,
                "different",
                "the name belongs to another kind of VM",
                true,
            )
            .send(request);
        }
    }
}

fn control(shared: &Shared, mut request: Request, method: &Method, action: &str) {
    match (method.clone(), action) {
        (Method::GET, "bill") => {
            let bill = shared.lock().bill();
            respond_json(request, 200, &bill);
        }
        (Method::POST, "vms") => match read_json::<Registration>(&mut request) {
            Ok(registration) => {
                shared.lock().register(registration);
                respond_json(request, 200, &());
            }
            Err(response) => response.send(request),
        },
        (Method::POST, "notice") => match read_json::<Reclaim>(&mut request) {
            Ok(reclaim) => {
                shared.reclaim(&reclaim);
                respond_json(request, 200, &());
            }
            Err(response) => response.send(request),
        },
        (Method::POST, "prices") => match read_json::<Prices>(&mut request) {
            Ok(prices) => {
                shared.lock().set_prices(prices);
                respond_json(request, 200, &());
            }
            Err(response) => response.send(request),
        },
        (Method::POST, "faults") => match read_json::<Faults>(&mut request) {
            Ok(faults) => {
                shared.lock().faults = faults;
                respond_json(request, 200, &());
            }
            Err(response) => response.send(request),
        },
        _ => error_response(404, "unknown_path", "there is no such control", true).send(request),
    }
}
