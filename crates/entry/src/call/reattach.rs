//! Access to requests in flight, through any daemon.

use std::sync::Arc;

use schema::journal::Holding;
use tokio::time::Instant;

use super::{auth, remote, response};
use crate::context::Context;
use crate::drive::Job;
use crate::fault::Fault;
use crate::handover;
use crate::http::Exchange;
use crate::journal::{End, Journal};

/// handles a call under `/v1/requests/`
pub(super) fn handle(context: &Context, exchange: Exchange, id: &str) {
    let snapshot = context.snapshot.load_full();
    let workspace = match auth::workspace(&snapshot, &exchange.headers) {
        Ok(workspace) => workspace.name.as_str(),
        Err(fault) => return exchange.fail(&fault),
    };
    match exchange.method.as_str() {
        "GET" => fetch(context, exchange, id, workspace),
        "DELETE" => cancel(context, exchange, id, workspace),
        _ => exchange.fail(&Fault::not_run(
            405,
            "method",
            "Requests take GET and DELETE.",
        )),
    }
}

fn fetch(context: &Context, exchange: Exchange, id: &str, workspace: &str) {
    let journal = match local_journal(context, &exchange, id) {
        Some(journal) => journal,
        None => return remote::fetch(context, exchange, id),
    };
    if journal.origin.workspace != workspace {
        return exchange.fail(&not_found(id));
    }
    if !wants_stream(&exchange) {
        return response::complete(context, exchange, &journal);
    }
    match first_index(&exchange, id) {
        Ok(from) if from <= journal.token_count() => {
            response::stream(context, exchange, &journal, from)
        }
        Ok(_) => {
            let message = "Last-Event-ID is beyond the answer.";
            exchange.fail(&Fault::not_run(400, "header", message));
        }
        Err(fault) => exchange.fail(&fault),
    }
}

/// the request if it is on this daemon
///
/// A copy is activated if no peer has the request itself. A forwarded call activates it without
/// asking: the daemon that forwarded it has already asked.
fn local_journal(context: &Context, exchange: &Exchange, id: &str) -> Option<Arc<Journal>> {
    if let Some(journal) = context.journals.get(id)
        && journal.ended() != Some(End::HandedOver)
    {
        return Some(journal);
    }
    let is_forwarded = exchange.headers.get(remote::HOP_HEADER).is_some();
    if !context.standby.contains(id) || (!is_forwarded && is_on_peer(context, id)) {
        return None;
    }
    activate(context, id)
}

fn is_on_peer(context: &Context, id: &str) -> bool {
    let holder = handover::locate(context, id);
    holder.is_some_and(|holder| holder.holding == Holding::Request)
}

/// continues a request from its copy
fn activate(context: &Context, id: &str) -> Option<Arc<Journal>> {
    let now = Instant::now();
    let copy = context.standby.remove(id, now)?;
    let journal = Arc::new(Journal::resume(&copy, now));
    context.journals.insert(&journal);
    context
        .metrics
        .handovers
        .with_label_values(&["activated"])
        .inc();
    tracing::info!(
        event = "copy_activated",
        request = id,
        tokens = journal.token_count()
    );
    let job = Job {
        journal: Arc::clone(&journal),
        pick: None,
        permit: None,
    };
    if context.submit(job).is_err() {
        context.standby.insert(copy, now);
        context.journals.remove(id);
        return None;
    }
    Some(journal)
}

fn cancel(context: &Context, exchange: Exchange, id: &str, workspace: &str) {
    let Some(journal) = local_journal(context, &exchange, id) else {
        return remote::fetch(context, exchange, id);
    };
    if journal.origin.workspace != workspace {
        return exchange.fail(&not_found(id));
    }
    journal.end(End::Cancelled, Instant::now());
    exchange.json(200, "{\"cancelled\":true}");
}

fn wants_stream(exchange: &Exchange) -> bool {
    let accept = exchange.headers.get("accept").unwrap_or_default();
    accept.contains("text/event-stream")
        || exchange.headers.get("last-event-id").is_some()
        || exchange.query.split('&').any(|pair| pair == "stream=true")
}

/// index of the first token that the caller has not received
fn first_index(exchange: &Exchange, id: &str) -> Result<u32, Fault> {
    let Some(last) = exchange.headers.get("last-event-id") else {
        return Ok(0);
    };
    let index = last
        .strip_prefix(id)
        .and_then(|rest| rest.strip_prefix(':'));
    let index = index.and_then(|index| index.parse::<u32>().ok());
    let message = "Last-Event-ID must be the id of an event of this request.";
    let index = index.ok_or_else(|| Fault::not_run(400, "header", message))?;
    Ok(index.saturating_add(1))
}

/// error if no daemon has such a request of this workspace; its daemon may have died while
/// the request ran
pub(super) fn not_found(id: &str) -> Fault {
    Fault::may_have_run(404, "request", format!("There is no request {id}."))
}
