//! Forwarding of a call to the daemon that has the request.

use std::io::BufReader;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder, Response, ResponseReader};
use engine::{Header, read_body, read_event, stated_length};
use peer::Member;

use super::reattach;
use crate::context::Context;
use crate::fault::Fault;
use crate::handover;
use crate::http::Exchange;

/// header that marks a call forwarded by a daemon, so that it is not forwarded again
pub(super) const HOP_HEADER: &str = "x-agateloom-hop";
/// headers that are forwarded
const FORWARDED_HEADERS: [&str; 5] = [
    "authorization",
    "accept",
    "last-event-id",
    "traceparent",
    "accept-encoding",
];
/// time-out for connecting to a daemon
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// idle time-out of a streamed response; daemons send a comment every second
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// time-out of a complete response
const COMPLETE_TIMEOUT: Duration = Duration::from_secs(600);
/// largest complete response
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// largest event of a stream
const MAX_EVENT_BYTES: u64 = 1024 * 1024;
/// retry delay for a caller when the daemon that has its request can't be reached
const LOST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// forwards a call to the daemon that has the request
pub(super) fn fetch(context: &Context, exchange: Exchange, id: &str) {
    if exchange.headers.get(HOP_HEADER).is_some() {
        return exchange.fail(&reattach::not_found(id));
    }
    let Some(holder) = handover::locate(context, id) else {
        return exchange.fail(&reattach::not_found(id));
    };
    match call(&exchange, &holder.member) {
        Ok(response) => relay(exchange, id, response),
        Err(error) => exchange.fail(&daemon_lost(&error.to_string())),
    }
}

fn call(exchange: &Exchange, member: &Member) -> attohttpc::Result<Response> {
    let query = if exchange.query.is_empty() { "" } else { "?" };
    let url = format!(
        "http://{}{}{query}{}",
        member.callers, exchange.path, exchange.query
    );
    let method = Method::from_bytes(exchange.method.as_bytes()).unwrap_or(Method::GET);
    let streamed = exchange.headers.get("last-event-id").is_some()
        || exchange
            .headers
            .get("accept")
            .is_some_and(|accept| accept.contains("text/event-stream"))
        || exchange.query.contains("stream=true");
    let mut request = RequestBuilder::new(method, url)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(if streamed {
            STREAM_IDLE_TIMEOUT
        } else {
            COMPLETE_TIMEOUT
        })
        .header(HOP_HEADER, "1");
    if !streamed {
        request = request.timeout(COMPLETE_TIMEOUT);
    }
    for name in FORWARDED_HEADERS {
        if let Some(value) = exchange.headers.get(name) {
            request = request.try_header(name, value)?;
        }
    }
    request.send()
}

fn relay(exchange: Exchange, id: &str, response: Response) {
    let status = response.status().as_u16();
    let headers: Vec<Header> = ["content-type", "location", "retry-after", "x-request-id"]
        .iter()
        .filter_map(|name| {
            let value = response.headers().get(*name)?.to_str().ok()?;
            Some(Header::new(*name, value))
        })
        .collect();
    let is_stream = headers
        .iter()
        .any(|header| header.value == "text/event-stream");
    let (_, head, reader) = response.split();
    if is_stream {
        return stream(exchange, id, reader);
    }
    match read_body(reader, stated_length(&head), MAX_BODY_BYTES) {
        Ok(body) => exchange.respond(status, &headers, body),
        Err(error) => exchange.fail(&daemon_lost(&error.to_string())),
    }
}

/// forwards events; if the connection to the daemon breaks, tells the caller to reattach
fn stream(exchange: Exchange, id: &str, reader: ResponseReader) {
    let mut sse = exchange.events(id);
    let mut complete = false;
    let mut reader = BufReader::new(reader);
    loop {
        let event = match read_event(&mut reader, MAX_EVENT_BYTES) {
            Ok(Some(event)) => event,
            Ok(None) => break,
            Err(error) => {
                tracing::info!(event = "forwarding_ended", request = id, %error);
                break;
            }
        };
        complete = event.contains("[DONE]") || event.starts_with("event: ");
        sse.raw(&event);
        if sse.flush().is_err() {
            return;
        }
    }
    if !complete {
        let data = format!("{{\"location\":\"/v1/requests/{id}\"}}");
        sse.event(Some("reattach"), None, &data);
    }
    if let Err(error) = sse.end() {
        tracing::debug!(event = "caller_left", request = id, %error);
    }
}

fn daemon_lost(error: &str) -> Fault {
    let message = format!("The daemon that has the request can't be reached: {error}.");
    Fault::may_have_run(503, "daemon_lost", message).with_retry_after(LOST_RETRY_AFTER)
}
