//! New completion requests.

use std::sync::Arc;
use std::time::Duration;

use route::table::Request as RouteRequest;
use schema::config::Kind;
use tokio::time::Instant;

use super::{admit, auth, response};
use crate::context::Context;
use crate::drive::Job;
use crate::fault::Fault;
use crate::http::Exchange;
use crate::journal::{End, Journal, Origin};
use crate::openai::Request;
use crate::quarantine::Causes;
use crate::span;

/// retry delay for a caller when all drivers are busy
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// random bytes in a request id
const ID_BYTES: usize = 16;

/// an accepted request
struct Accepted {
    journal: Arc<Journal>,
    /// whether the response is streamed
    stream: bool,
}

/// handles a completion request
pub(super) fn handle(context: &Context, mut exchange: Exchange, chat: bool) {
    match accept(context, &mut exchange, chat) {
        Ok(accepted) => match accepted.stream {
            true => response::stream(context, exchange, &accepted.journal, 0),
            false => response::complete(context, exchange, &accepted.journal),
        },
        Err(fault) => {
            let labels = ["", "", response::verdict_label(fault.verdict)];
            context.metrics.requests.with_label_values(&labels).inc();
            exchange.fail(&fault);
        }
    }
}

fn accept(context: &Context, exchange: &mut Exchange, chat: bool) -> Result<Accepted, Fault> {
    let now = Instant::now();
    let snapshot = context.snapshot.load();
    let workspace = auth::workspace(&snapshot, &exchange.headers)?;
    let body = exchange.body()?;
    let request = Request::parse(&body, chat)?;
    let service = auth::service(&snapshot, workspace, &request.model)?;
    if service.kind != Kind::Model {
        let message = format!("The service {:?} is no model.", request.model);
        return Err(Fault::not_run(400, "service", message));
    }
    admit::check_stage(context)?;
    let urgency = admit::urgency(&exchange.headers, workspace, service, now)?;
    let origin = Origin {
        id: new_id(&context.node.me().data_centre),
        workspace: workspace.name.clone(),
        service: service.name.clone(),
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        chat,
        priority: urgency.priority,
        accepted: now,
        deadline: urgency.deadline,
        trace: span::trace_parent(exchange.headers.get("traceparent")),
    };
    let journal = Arc::new(Journal::new(origin));
    start(context, &journal, urgency.first_token)?;
    Ok(Accepted {
        journal,
        stream: request.stream,
    })
}

/// admits a request, adds it to the requests in flight and queues it for the drivers
fn start(context: &Context, journal: &Arc<Journal>, first_token: Duration) -> Result<(), Fault> {
    let origin = &journal.origin;
    let blocks = route::prefix::blocks(&origin.prompt);
    let causes = Causes::of(origin, &blocks);
    let route_request = RouteRequest {
        service: &origin.service,
        blocks: &blocks,
        prompt_tokens: route::prefix::tokens(&origin.prompt),
        prior_tokens: 0,
        max_tokens: origin.max_tokens,
        priority: origin.priority,
        avoid: &[],
        deadline: origin.deadline,
        first_token,
    };
    context
        .spans
        .add(origin.span_ids(), "accept", origin.accepted, "");
    let start = Instant::now();
    let admitted = admit::admit(context, &origin.workspace, &route_request, &causes)?;
    let note = format!(
        "vm={} estimate_ms={}",
        admitted.pick.vm,
        admitted.pick.estimate.as_millis()
    );
    context.spans.add(origin.span_ids(), "admit", start, &note);
    context.record_attempt();
    context.journals.insert(journal);
    let job = Job {
        journal: Arc::clone(journal),
        pick: Some(admitted.pick),
        permit: Some(admitted.permit),
    };
    context.submit(job).map_err(|job| reject(context, *job))
}

/// removes a request that the full queue rejected, and releases its permit
fn reject(context: &Context, job: Job) -> Fault {
    let now = Instant::now();
    context.journals.remove(&job.journal.origin.id);
    job.journal.end(End::Cancelled, now);
    if let Some(permit) = job.permit {
        context.limits.settle(permit, 0, now);
    }
    Fault::not_run(503, "busy", "The daemon has too many requests in flight.")
        .with_retry_after(BUSY_RETRY_AFTER)
}

/// a request id: the data centre, by which any daemon finds the request, and random bytes
fn new_id(data_centre: &str) -> String {
    let random: [u8; ID_BYTES] = rand::random();
    format!("{data_centre}.{}", hex::encode(random))
}
