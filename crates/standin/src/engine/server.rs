//! The engine's HTTP server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http::Method;
use schema::engine::{Completion, Import, Order};
use web::Request;

use super::batch::Rejection;
use super::control::{Faults, Notice};
use super::delivery::deliver;
use super::kv;
use super::options::Options;
use super::run::Run;
use super::shared::{Readiness, Shared};
use super::stream::Stream;
use crate::http::{
    ErrorResponse, Listener, Stop, Target, close_connection, error_response, read_json,
    respond_json,
};

/// a running engine; stops on drop
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    shared: Arc<Shared>,
    step_thread: Option<JoinHandle<()>>,
}

impl Server {
    /// starts an engine
    pub fn start(options: Options) -> io::Result<Self> {
        let stop = Stop::default();
        let listen = options.listen.clone();
        let shared = Arc::new(Shared::new(options, stop.clone()));
        let handler = Arc::clone(&shared);
        let handle = move |request| route(&handler, request);
        let listener = Listener::start(&listen, &stop, handle)?;
        let stepping = Arc::clone(&shared);
        let step_thread = thread::Builder::new()
            .name("steps".to_owned())
            .spawn(move || stepping.run_steps())?;
        Ok(Self {
            listener,
            shared,
            step_thread: Some(step_thread),
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// blocks until it stops, after a preemption notice or by [`Server::kill`]
    pub fn wait(&self) {
        self.shared.stop.wait();
    }

    /// stops it at once, as when its VM is reclaimed
    pub fn kill(&self) {
        self.shared.stop.set();
    }

    /// delivers a preemption notice; the engine stops after `time`
    pub fn receive_notice(&self, time: Duration) {
        stop_after_notice(&self.shared, time);
    }

    /// replaces all faults
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// records of all streams accepted so far
    pub fn record(&self) -> Vec<Run> {
        self.shared.batch().record()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop.set();
        self.shared.wake();
        if let Some(step_thread) = self.step_thread.take() {
            let _ = step_thread.join();
        }
    }
}

fn route(shared: &Arc<Shared>, request: Request) {
    let Some(target) = Target::from_request(&request) else {
        return error_response(400, "malformed", "the path can't be parsed", true).send(request);
    };
    let method = request.method().clone();
    match (method, target.segments().as_slice()) {
        (Method::POST, ["v1", "completions"]) => complete(shared, request),
        (Method::GET, ["v1", "streams", id]) => {
            let from = target.query("from").unwrap_or(0);
            with_stream(shared, request, id, |stream, request| {
                deliver(shared, &stream, request, from);
            });
        }
        (Method::DELETE, ["v1", "streams", id]) => cancel(shared, request, id),
        (Method::GET, ["v1", "kv", id]) => {
            with_stream(shared, request, id, |stream, request| {
                kv::export(shared, &stream, request);
            });
        }
        (Method::POST, ["v1", "kv", "import"]) => import(shared, request),
        (Method::GET, ["v1", "load"]) => respond_json(request, 200, &shared.load()),
        (Method::GET, ["v1", "events"]) => {
            let events = shared
                .batch()
                .event_log()
                .since(target.query("since").unwrap_or(0));
            respond_json(request, 200, &events);
        }
        (Method::GET, ["v1", "orders"]) => respond_json(request, 200, &shared.order()),
        (Method::PUT, ["v1", "orders"]) => put_order(shared, request),
        (method, ["control", action]) => control(shared, request, &method, action),
        _ => error_response(404, "unknown_path", "there is no such path", true).send(request),
    }
}

fn control(shared: &Arc<Shared>, mut request: Request, method: &Method, action: &str) {
    match (method.clone(), action) {
        (Method::POST, "notice") => match read_json::<Notice>(&mut request) {
            Ok(notice) => {
                stop_after_notice(shared, Duration::from_secs_f64(notice.seconds.max(0.0)));
                respond_json(request, 200, &notice);
            }
            Err(response) => response.send(request),
        },
        (Method::POST, "faults") => match read_json::<Faults>(&mut request) {
            Ok(faults) => {
                shared.set_faults(faults);
                respond_json(request, 200, &faults);
            }
            Err(response) => response.send(request),
        },
        (Method::GET, "record") => {
            let record = shared.batch().record();
            respond_json(request, 200, &record);
        }
        _ => error_response(404, "unknown_path", "there is no such control", true).send(request),
    }
}

fn complete(shared: &Arc<Shared>, mut request: Request) {
    let completion = match read_json::<Completion>(&mut request) {
        Ok(completion) => completion,
        Err(response) => return response.send(request),
    };
    if consume(&mut shared.faults().fail_before) {
        return close_connection(request);
    }
    let from = completion.prior.len() as u32;
    match submit(shared, completion) {
        Ok(stream) if consume(&mut shared.faults().fail_after) => {
            let reader = stream.attach();
            stream.detach(reader);
            close_connection(request);
        }
        Ok(stream) => deliver(shared, &stream, request, from),
        Err(response) => response.send(request),
    }
}

fn submit(shared: &Shared, completion: Completion) -> Result<Arc<Stream>, ErrorResponse> {
    if shared.faults().refuse {
        return Err(error_response(
            503,
            "refused",
            "the engine refuses work",
            true,
        ));
    }
    match shared.readiness(&completion.model) {
        Readiness::Ready => {}
        Readiness::Loading => {
            return Err(error_response(
                503,
                "loading",
                "a model is being loaded",
                true,
            ));
        }
        Readiness::OtherModel => {
            return Err(error_response(
                404,
                "unknown_model",
                "another model is loaded",
                true,
            ));
        }
    }
    let submitted = shared.batch().submit(completion);
    shared.wake();
    submitted.map_err(|rejection| match rejection {
        Rejection::WrongPrior => {
            error_response(400, "wrong_prior", "the prior tokens are wrong", true)
        }
        Rejection::DuplicateId => {
            error_response(409, "known_request", "the request is known", false)
        }
    })
}

fn cancel(shared: &Shared, request: Request, id: &str) {
    with_stream(shared, request, id, |stream, request| {
        stream.cancel();
        shared.wake();
        respond_json(request, 200, &stream.finish_event());
    });
}

fn import(shared: &Shared, mut request: Request) {
    match read_json::<Import>(&mut request) {
        Ok(body) => match kv::import(shared, &body) {
            Ok(imported) => respond_json(request, 200, &imported),
            Err(message) => error_response(502, "source", &message, false).send(request),
        },
        Err(response) => response.send(request),
    }
}

fn put_order(shared: &Shared, mut request: Request) {
    match read_json::<Order>(&mut request) {
        Ok(order) if shared.apply_order(&order) => respond_json(request, 200, &order),
        Ok(_) => {
            error_response(
                409,
                "old_fence",
                "the fencing number is older than the last",
                true,
            )
            .send(request);
        }
        Err(response) => response.send(request),
    }
}

fn with_stream<F>(shared: &Shared, request: Request, id: &str, run: F)
where
    F: FnOnce(Arc<Stream>, Request),
{
    let found = shared.batch().find(id);
    match found {
        Some(stream) => run(stream, request),
        None => {
            error_response(404, "unknown_stream", "there is no such stream", true).send(request)
        }
    }
}

fn stop_after_notice(shared: &Arc<Shared>, time: Duration) {
    shared.record_notice();
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        shared.stop.wait_for(time);
        shared.stop.set();
    });
}

/// takes one from the number of remaining faults; false if there is none left
fn consume(remaining: &mut u32) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}
