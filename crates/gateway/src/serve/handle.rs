use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{Request as HttpRequest, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use route::place::{Ask, Patience};
use route::trust::Trust;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use super::request::Request;
use super::{Body, Own, Reason, plain, stream};
use crate::model::{Call, Config, Limit, Route, Unit, Workspace};
use crate::seam::Dialect;
use crate::shared::Shared;

/// time to come back while the configuration is unknown or too old: a store that is
/// back is read within about this time
const CONFIG_WAIT: Duration = Duration::from_millis(1000);

/// longest time to wait for a request's body, if its caller states no patience
const BODY_TIME: Duration = Duration::from_secs(10);

/// answers a caller's request
///
/// # Errors
/// Never; every failure is an answer.
pub async fn handle<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: HttpRequest<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let response = match admit(&shared, head, body, arrived).await {
        Ok(request) => forward(&shared, request).await,
        Err(refused) => {
            note_refused(&shared, &refused);
            refused.own.response()
        }
    };
    Ok(response)
}

/// a request that is refused before a VM is chosen
struct Refused {
    id: String,
    route: String,
    workspace: Option<String>,
    own: Own,
}

impl Refused {
    fn new(call: &Call, route: &str, own: Own) -> Refused {
        Refused {
            id: call.id.clone(),
            route: route.to_owned(),
            workspace: None,
            own,
        }
    }

    fn early(own: Own) -> Refused {
        Refused {
            id: String::new(),
            route: String::new(),
            workspace: None,
            own,
        }
    }
}

/// checks a request against the configuration and reads its body
async fn admit<D: Dialect>(
    shared: &Shared<D>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Request, Refused> {
    let call = match shared.dialect.call(&head) {
        Ok(call) => call,
        Err(error) => {
            tracing::debug!(event = "head_unreadable", cause = error.0);
            return Err(Refused::early(Own::new(Reason::BadHead)));
        }
    };
    let Some(config) = shared.first_config().await else {
        let own = Own::after(Reason::NotStarted, CONFIG_WAIT);
        return Err(Refused::new(&call, "", own));
    };
    let trust = shared.trust();
    let Some(route) = find_route(&config, &head) else {
        return Err(Refused::new(&call, "", unknown(trust, Reason::NoRoute)));
    };
    let refuse = |own| Refused::new(&call, &route.name, own);
    let workspace = authenticate(&config, &route, &call, trust).map_err(refuse)?;
    let limit = arrived + call.time_limit.unwrap_or(BODY_TIME);
    let body = read_body(&head, body, config.bounds.body_bytes, limit).await;
    let body = body.map_err(|reason| refuse(Own::new(reason)))?;
    if let Some(workspace) = &workspace {
        spend(shared, workspace, &call).map_err(|own| Refused {
            workspace: Some(workspace.name.clone()),
            ..refuse(own)
        })?;
    }
    let draw = xxh3_64(call.id.as_bytes());
    let Some(service) = route.service(draw) else {
        return Err(refuse(unknown(trust, Reason::NoRoute)));
    };
    let service = service.to_owned();
    shared.count_request(&service);
    let time = call
        .time_limit
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let parts = call
        .parts
        .iter()
        .map(|part| (part.id, part.tokens))
        .collect();
    let kinds = config.kinds(&service);
    Ok(Request {
        kinds,
        draw,
        head,
        call,
        body,
        route,
        service,
        workspace,
        parts,
        arrived,
        deadline: arrived + time,
    })
}

/// sends a request to VMs and says how it went
async fn forward<D: Dialect>(shared: &Rc<Shared<D>>, request: Request) -> Response<Body> {
    let id = request.call.id.clone();
    let workspace = request
        .workspace
        .as_ref()
        .map(|workspace| workspace.name.clone());
    let route = Rc::clone(&request.route);
    let arrived = request.arrived;
    let result = if route.kind.is_stream() {
        stream::serve(shared, request).await
    } else {
        plain::serve(shared, request).await
    };
    match result {
        Ok(response) => {
            let took = arrived.elapsed();
            let latency = shared.metrics.latency.with_label_values(&[&route.name]);
            latency.observe(took.as_secs_f64());
            response
        }
        Err(own) => {
            let refused = Refused {
                id,
                route: route.name.clone(),
                workspace,
                own,
            };
            note_refused(shared, &refused);
            own.response()
        }
    }
}

fn find_route(config: &Config, head: &Parts) -> Option<Rc<Route>> {
    let host = head.headers.get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let name = name.to_ascii_lowercase();
    config.route(&name, head.uri.path()).map(Rc::clone)
}

/// what a configuration lacks is unknown only if the configuration is current
fn unknown(trust: Trust, reason: Reason) -> Own {
    match trust {
        Trust::Current => Own::new(reason),
        Trust::Behind => Own::after(Reason::ConfigBehind, CONFIG_WAIT),
        Trust::Stale => Own::after(Reason::ConfigStale, CONFIG_WAIT),
    }
}

fn authenticate(
    config: &Config,
    route: &Route,
    call: &Call,
    trust: Trust,
) -> Result<Option<Rc<Workspace>>, Own> {
    if route.open || !config.requires_key {
        return Ok(None);
    }
    if trust == Trust::Stale {
        return Err(Own::after(Reason::ConfigStale, CONFIG_WAIT));
    }
    let known = call.key.as_deref().and_then(|key| config.workspace(key));
    match known {
        Some(workspace) => Ok(Some(Rc::clone(workspace))),
        None => Err(unknown(trust, Reason::BadKey)),
    }
}

/// takes a request from its workspace's limit
fn spend<D: Dialect>(shared: &Shared<D>, workspace: &Workspace, call: &Call) -> Result<(), Own> {
    let Some(limit) = &workspace.limit else {
        return Ok(());
    };
    let units = units(limit, call);
    let mut quotas = shared.quotas.borrow_mut();
    let Some(quota) = quotas.get_mut(&workspace.name) else {
        return Ok(());
    };
    let now = Instant::now();
    let Err(wait) = quota.spend(units, now) else {
        return Ok(());
    };
    let (level, share, demand) = (quota.level(), quota.share(), quota.demand(now));
    if let Some(left_out) = shared.permit_log("limit_spent") {
        tracing::info!(
            event = "limit_spent",
            request = call.id,
            workspace = workspace.name,
            units,
            level = level.round(),
            share,
            own_demand = demand.round(),
            rate = limit.rate,
            daemons = shared.daemons.get(),
            left_out,
        );
    }
    Err(Own::after(Reason::OverLimit, wait))
}

fn units(limit: &Limit, call: &Call) -> f64 {
    match (limit.unit, call.tokens) {
        (Unit::Requests, _) => 1.0,
        (Unit::Tokens { .. }, Some((prompt, output))) => f64::from(prompt) + f64::from(output),
        (Unit::Tokens { unstated }, None) => f64::from(unstated),
    }
}

async fn read_body(
    head: &Parts,
    body: Incoming,
    most: usize,
    limit: Instant,
) -> Result<Bytes, Reason> {
    let length = head.headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > most as u64) {
        return Err(Reason::BodyTooLong);
    }
    match timeout_at(limit, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyLost),
    }
}

fn note_refused<D: Dialect>(shared: &Shared<D>, refused: &Refused) {
    let outcome = refused.own.reason.name();
    let requests = &shared.metrics.requests;
    requests.with_label_values(&[&refused.route, outcome]).inc();
    let Some(left_out) = shared.permit_log("refused") else {
        return;
    };
    tracing::info!(
        event = "request_refused",
        request = refused.id,
        route = refused.route,
        workspace = refused.workspace,
        outcome,
        status = refused.own.reason.status().as_u16(),
        retry_after_ms = refused.own.retry_after.map(|wait| wait.as_millis() as u64),
        config = shared.config().map(|config| config.version),
        config_age_ms = shared.config_age().map(|age| age.as_millis() as u64),
        left_out,
    );
}

impl Request {
    /// what the board has to know to choose a VM
    pub fn ask<'a>(&'a self, avoid: &'a [String], patience: Patience) -> Ask<'a> {
        Ask {
            service: &self.service,
            parts: &self.parts,
            prompt_tokens: self.call.prompt_tokens(),
            output_tokens: self.call.output_tokens(),
            patience,
            draw: self.draw,
            avoid,
        }
    }
}
