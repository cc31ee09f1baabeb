//! Routing of requests to their handlers by method and path.

use crate::context::Context;
use crate::fault::Fault;
use crate::http::Exchange;

use super::{completion, info, plain, reattach, ticketed};

/// path prefix of requests in flight
const REQUESTS: &str = "/v1/requests/";
/// path prefix of plain services
const SERVICES: &str = "/services/";

/// passes a request to its handler
pub(crate) fn handle(context: &Context, exchange: Exchange) {
    let method = exchange.method.clone();
    let path = exchange.path.clone();
    if let Some(id) = path.strip_prefix(REQUESTS) {
        return reattach::handle(context, exchange, id);
    }
    if let Some(rest) = path.strip_prefix(SERVICES) {
        return plain::handle(context, exchange, rest);
    }
    match (method.as_str(), path.as_str()) {
        ("POST", "/v1/completions") => completion::handle(context, exchange, false),
        ("POST", "/v1/chat/completions") => completion::handle(context, exchange, true),
        ("POST", "/v1/tickets") => ticketed::issue(context, exchange),
        ("GET", "/v1/models") => info::models(context, exchange),
        ("GET", "/healthz") => info::health(exchange),
        ("GET", "/readyz") => info::ready(context, exchange),
        ("GET", "/metrics") => info::metrics(context, exchange),
        (_, "/v1/completions" | "/v1/chat/completions") => {
            let message = "Completions are asked for by POST.";
            exchange.fail(&Fault::not_run(405, "method", message));
        }
        _ => {
            let message = format!("There is nothing at {path}.");
            exchange.fail(&Fault::not_run(404, "path", message));
        }
    }
}
