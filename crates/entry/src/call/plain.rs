//! Calls to plain services.
//!
//! An idempotent call is retried within the retry budget. Any other call is sent again only
//! if it is certain that it did not run. With an idempotency key, a call is claimed in the
//! object API before it is sent.

use std::time::Duration;

use engine::{Failure, Header, Request, Response};
use route::retry::{self, AttemptState, Step};
use route::table::{self, Outcome, Pick};
use route::verdict;
use schema::config::{Kind, Service, Workspace};
use schema::failure::Verdict;
use tokio::time::Instant;

use super::admit::{self, Urgency};
use super::{auth, claimed, remote, response, ticketed};
use crate::context::Context;
use crate::drive;
use crate::fault::Fault;
use crate::http::Exchange;
use crate::quarantine::Causes;
use crate::span::{self, Ids};
use crate::ticket::Name;

/// methods that HTTP defines as idempotent
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];
/// headers that are not forwarded: they concern one connection, hold the caller's credentials,
/// or are set by daemons and upstreams
const STRIPPED_HEADERS: [&str; 17] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-agateloom-hop",
    "x-not-run",
    "x-request-limit",
    "x-workspace",
];
/// retry delay for a caller whose call is in flight or can't be decided now
pub(super) const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// tokens that a call to a plain service is charged under the limits of its workspace
const PLAIN_TOKENS: u32 = 0;

/// a call to a plain service, with what its attempts share
pub(super) struct Invocation<'a> {
    pub(super) context: &'a Context,
    pub(super) workspace: &'a str,
    pub(super) service: &'a str,
    pub(super) urgency: Urgency,
    pub(super) repeatable: bool,
    pub(super) request: Request<'a>,
    pub(super) trace: &'a str,
    pub(super) id: &'a str,
    pub(super) authorization: &'a str,
    pub(super) is_forwarded: bool,
}

/// handles a call under `/services/`; `rest` is the path after this prefix
pub(super) fn handle(context: &Context, mut exchange: Exchange, rest: &str) {
    let result = run(context, &mut exchange, rest);
    match result {
        Ok(response) => {
            let mut headers = response.headers;
            headers.retain(|header| !STRIPPED_HEADERS.contains(&header.name.as_str()));
            exchange.respond(response.status, &headers, response.body);
        }
        Err(fault) => exchange.fail(&fault),
    }
}

fn run(context: &Context, exchange: &mut Exchange, rest: &str) -> Result<Response, Fault> {
    let start = Instant::now();
    let snapshot = context.snapshot.load_full();
    let workspace = auth::workspace(&snapshot, &exchange.headers)?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = auth::service(&snapshot, workspace, name)?;
    if service.kind != Kind::Plain {
        let message = format!("The service {name:?} is a model; ask it under /v1.");
        return Err(Fault::not_run(400, "service", message));
    }
    let body = exchange.body()?;
    admit::check_stage(context)?;
    let urgency = admit::urgency(&exchange.headers, workspace, service, start)?;
    admit::check_drain(context, &urgency)?;
    let path = match exchange.query.as_str() {
        "" => format!("/{path}"),
        query => format!("/{path}?{query}"),
    };
    let trace = span::trace_parent(exchange.headers.get("traceparent"));
    let headers = forwarded_headers(exchange, workspace, &trace);
    let id = hex::encode(rand::random::<[u8; 8]>());
    let invocation = Invocation {
        context,
        workspace: &workspace.name,
        service: name,
        urgency,
        repeatable: is_repeatable(service, &exchange.method),
        request: Request {
            method: &exchange.method,
            path: &path,
            headers: &headers,
            body: &body,
        },
        trace: &trace,
        id: &id,
        authorization: exchange.headers.get("authorization").unwrap_or_default(),
        is_forwarded: exchange.headers.get(remote::HOP_HEADER).is_some(),
    };
    let result = match exchange.headers.get("idempotency-key") {
        Some(key) if !invocation.repeatable => match Name::parse(key) {
            Some(ticket) => ticketed::run(&invocation, &ticket),
            None => claimed::run(&invocation, key),
        },
        _ => invocation.send(),
    };
    invocation.record(&result, start);
    result
}

fn forwarded_headers(exchange: &Exchange, workspace: &Workspace, trace: &str) -> Vec<Header> {
    let mut headers: Vec<Header> = exchange.headers.all().to_vec();
    headers.retain(|header| !STRIPPED_HEADERS.contains(&header.name.as_str()));
    headers.push(Header::new("x-workspace", workspace.name.as_str()));
    headers.push(Header::new("traceparent", trace));
    headers
}

fn is_repeatable(service: &Service, method: &str) -> bool {
    IDEMPOTENT_METHODS.contains(&method)
        || service
            .repeatable
            .iter()
            .any(|repeatable| repeatable == method)
}

impl Invocation<'_> {
    /// identifiers for its spans
    pub(super) fn span_ids(&self) -> Ids<'_> {
        Ids {
            request: self.id,
            trace: self.trace,
        }
    }

    /// sends the call, with retries as allowed
    pub(super) fn send(&self) -> Result<Response, Fault> {
        let mut avoid = Vec::new();
        let mut verdict = Verdict::NotRun;
        let mut attempts = 0;
        loop {
            let route_request = self.route_request(&avoid);
            let causes = self.causes();
            let admitted = admit::admit(self.context, self.workspace, &route_request, &causes);
            let admitted = admitted.map_err(|fault| join_verdict(fault, verdict))?;
            if attempts == 0 {
                self.context.record_attempt();
            }
            attempts += 1;
            let vm = admitted.pick.vm.clone();
            let result = self.attempt(admitted.pick, attempts);
            self.context
                .limits
                .settle(admitted.permit, PLAIN_TOKENS, Instant::now());
            let failure = match result {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            verdict = verdict::join(verdict, failure.verdict);
            match self.decide(&failure, attempts) {
                Step::Reconnect => self.context.take_retry(),
                Step::Move { after } => {
                    self.context.take_retry();
                    avoid.push(vm);
                    std::thread::sleep(after);
                }
                Step::GiveUp => return Err(drive::fault(&failure, verdict)),
            }
        }
    }

    fn route_request<'b>(&'b self, avoid: &'b [String]) -> table::Request<'b> {
        table::Request {
            service: self.service,
            blocks: &[],
            prompt_tokens: 0,
            prior_tokens: 0,
            max_tokens: PLAIN_TOKENS,
            priority: self.urgency.priority,
            avoid,
            deadline: self.urgency.deadline,
            first_token: self.urgency.first_token,
        }
    }

    fn causes(&self) -> Causes<'_> {
        let request = &self.request;
        let path = [self.service, request.method, request.path];
        Causes::new(self.workspace, &path, request.body, &[])
    }

    /// records whether the VM has ended under the call
    fn record_crash(&self, pick: &Pick, result: &Result<Response, Failure>) {
        let quarantine = &self.context.quarantine;
        match result {
            Ok(_) => quarantine.record_success(&self.causes(), Instant::now()),
            Err(failure) if failure.verdict != Verdict::NotRun => {
                quarantine.record_broken(&self.causes(), &pick.vm, &pick.address, None);
            }
            Err(_) => {}
        }
    }

    fn attempt(&self, pick: Pick, number: u32) -> Result<Response, Failure> {
        let start = Instant::now();
        let limit = self.urgency.time_left();
        let engines = &self.context.engines;
        let result = engines.call(&pick.address, &self.request, limit);
        self.record_crash(&pick, &result);
        let (stated, has_run) = match &result {
            Ok(response) => (response.stated, true),
            Err(failure) => (failure.stated, false),
        };
        self.context
            .record_stated(&pick.vm, &pick.address, stated, has_run);
        let outcome = match &result {
            Ok(_) => Outcome::Answered,
            Err(failure) => Outcome::Failed(drive::retry_failure(failure).kind),
        };
        let label = if result.is_ok() { "done" } else { "lost" };
        self.context
            .metrics
            .attempts
            .with_label_values(&[self.service, label])
            .inc();
        let mut note = format!("vm={} number={number} outcome={label}", pick.vm);
        if let Err(failure) = &result {
            note.push_str(&format!(" cause={failure}"));
        }
        self.context
            .spans
            .add(self.span_ids(), "attempt", start, &note);
        self.context
            .vms
            .finish(pick.permit, outcome, Instant::now());
        result
    }

    fn decide(&self, failure: &Failure, attempts: u32) -> Step {
        let state = AttemptState {
            idempotent: self.repeatable,
            attempts,
            reconnects: attempts,
            deadline_left: self.urgency.time_left(),
            breaker_open: false,
            draining: false,
            budget_wait: self.context.retry_wait(),
            jitter: rand::random(),
        };
        retry::decide(&drive::retry_failure(failure), &state)
    }

    /// counts and logs the call
    fn record(&self, result: &Result<Response, Fault>, start: Instant) {
        let outcome = match result {
            Ok(_) => "ran",
            Err(fault) => response::verdict_label(fault.verdict),
        };
        let labels = [self.service, self.workspace, outcome];
        self.context
            .metrics
            .requests
            .with_label_values(&labels)
            .inc();
        tracing::info!(
            event = "call",
            request = self.id,
            workspace = self.workspace,
            service = self.service,
            method = self.request.method,
            outcome,
            took_ms = start.elapsed().as_millis() as u64,
        );
    }
}

/// an error with its verdict joined with that of earlier attempts
fn join_verdict(fault: Fault, attempts: Verdict) -> Fault {
    let verdict = verdict::join(attempts, fault.verdict);
    fault.with_verdict(verdict)
}
