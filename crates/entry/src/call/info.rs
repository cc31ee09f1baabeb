//! Liveness, readiness, metrics and the list of models.

use engine::Header;
use schema::config::Kind;
use serde::Serialize;

use super::auth;
use crate::context::Context;
use crate::fault::Fault;
use crate::http::Exchange;
use crate::lifecycle::Stage;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// liveness check: the process runs
pub(super) fn health(exchange: Exchange) {
    exchange.json(200, "{\"status\":\"ok\"}");
}

/// readiness check: whether the load balancer may send requests
pub(super) fn ready(context: &Context, exchange: Exchange) {
    match context.lifecycle.get() {
        Stage::Serving => exchange.json(200, "{\"status\":\"ready\"}"),
        Stage::Starting => exchange.json(503, "{\"status\":\"starting\"}"),
        Stage::Draining | Stage::Closing => exchange.json(503, "{\"status\":\"leaving\"}"),
    }
}

/// all metrics in the Prometheus text format
pub(super) fn metrics(context: &Context, exchange: Exchange) {
    let kind = Header::new("content-type", "text/plain; version=0.0.4");
    exchange.respond(200, &[kind], context.metrics.encode());
}

/// models that the caller's workspace may use
pub(super) fn models(context: &Context, exchange: Exchange) {
    let snapshot = context.snapshot.load();
    let workspace = match auth::workspace(&snapshot, &exchange.headers) {
        Ok(workspace) => workspace,
        Err(fault) => return exchange.fail(&fault),
    };
    let mut data = Vec::new();
    for service in &snapshot.declaration.services {
        let allowed = auth::service(&snapshot, workspace, &service.name).is_ok();
        if allowed && service.kind == Kind::Model {
            data.push(Model {
                id: &service.name,
                object: "model",
                owned_by: "agateloom",
            });
        }
    }
    match serde_json::to_string(&List {
        object: "list",
        data,
    }) {
        Ok(body) => exchange.json(200, &body),
        Err(error) => exchange.fail(&Fault::not_run(500, "internal", error.to_string())),
    }
}
