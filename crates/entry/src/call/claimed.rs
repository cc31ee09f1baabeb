//! Calls with an idempotency key: they run at most once, on whichever daemon receives them.

use engine::{Header, Response, Stated};
use schema::failure::Verdict;
use store::claim::{self, Claim, Fingerprint, Handle};
use tokio::time::Instant;

use super::plain::{IN_FLIGHT_RETRY_AFTER, Invocation};
use crate::fault::Fault;

/// longest idempotency key
const MAX_KEY_BYTES: usize = 255;
/// response headers that are stored for repeats
const STORED_HEADERS: [&str; 3] = ["content-type", "content-language", "location"];
/// header that marks the response to a repeat
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// claims the key and runs the call, or returns the outcome of the call that has the claim
pub(super) fn run(invocation: &Invocation<'_>, key: &str) -> Result<Response, Fault> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("Idempotency-Key must have from 1 to {MAX_KEY_BYTES} characters.");
        return Err(Fault::not_run(400, "header", message));
    }
    let start = Instant::now();
    let path = format!("/{}{}", invocation.service, invocation.request.path);
    let request = Fingerprint::new(invocation.request.method, &path, invocation.request.body);
    let owner = invocation.context.node.me().instance.to_string();
    let claim = invocation
        .context
        .claims
        .claim(invocation.workspace, key, &request, &owner);
    invocation
        .context
        .spans
        .add(invocation.span_ids(), "claim", start, "");
    match claim {
        Ok(Claim::Acquired(handle)) => send(invocation, &handle),
        Ok(Claim::Completed(response)) => Ok(replay(response)),
        Ok(Claim::InProgress { .. }) => Err(in_use()),
        Ok(Claim::Mismatch) => Err(mismatch()),
        Err(error) => {
            tracing::warn!(event = "claim_failed", request = invocation.id, %error);
            let message = "The key can't be claimed now, so the call was not sent.";
            Err(Fault::not_run(503, "store", message).with_retry_after(IN_FLIGHT_RETRY_AFTER))
        }
    }
}

fn send(invocation: &Invocation<'_>, handle: &Handle) -> Result<Response, Fault> {
    let result = invocation.send();
    match &result {
        Ok(response) => finish(invocation, handle, response),
        Err(fault) if fault.verdict == Verdict::NotRun => release(invocation, handle),
        Err(_) => (),
    }
    result
}

/// stores the response for repeats; if that fails, repeats get the verdict `may_have_run`
fn finish(invocation: &Invocation<'_>, handle: &Handle, response: &Response) {
    let headers = response
        .headers
        .iter()
        .filter(|header| STORED_HEADERS.contains(&header.name.as_str()));
    let headers = headers.map(|header| schema::objects::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    let stored = claim::Response {
        status: response.status,
        headers: headers.collect(),
        body: Some(response.body.clone()),
    };
    if let Err(error) = invocation.context.claims.finish(handle, &stored) {
        tracing::warn!(event = "outcome_not_kept", request = invocation.id, %error);
    }
}

fn release(invocation: &Invocation<'_>, handle: &Handle) {
    if let Err(error) = invocation.context.claims.release(handle) {
        tracing::warn!(event = "claim_not_released", request = invocation.id, %error);
    }
}

/// error if the call of the key is in flight or its outcome is unknown
pub(super) fn in_use() -> Fault {
    let message = "A call with this key is under way, or its outcome is not known.";
    Fault::may_have_run(409, "key_in_use", message).with_retry_after(IN_FLIGHT_RETRY_AFTER)
}

/// error if the key was used for a different call
pub(super) fn mismatch() -> Fault {
    Fault::not_run(422, "key_mismatch", "The key was used for another call.")
}

/// marks a response as replayed
pub(super) fn replayed(mut response: Response) -> Response {
    response.headers.push(Header::new(REPLAYED_HEADER, "true"));
    response
}

fn replay(stored: claim::Response) -> Response {
    let headers = stored.headers.into_iter();
    let headers: Vec<Header> = headers
        .map(|header| Header::new(header.name, header.value))
        .collect();
    replayed(Response {
        status: stored.status,
        headers,
        body: stored.body.unwrap_or_default(),
        stated: Stated::default(),
    })
}
