//! Calls under an idempotency key: run at most once, by any daemon.

use engine::{Answer, Header};
use schema::failure::Verdict;
use store::claim::{Claim, Fingerprint, Handle, Response};
use tokio::time::Instant;

use super::plain::{Plain, UNDER_WAY};
use crate::fault::Fault;

/// longest key, bytes
const KEY_BYTES: usize = 255;
/// headers of an answer that are kept for repeats
const KEPT: [&str; 3] = ["content-type", "content-language", "location"];
/// header that marks the answer to a repeat
const REPLAYED: &str = "idempotent-replayed";

/// claims the key, then runs the call or tells what became of it
pub(super) fn run(plain: &Plain<'_>, key: &str) -> Result<Answer, Fault> {
    if key.is_empty() || key.len() > KEY_BYTES {
        let message = format!("Idempotency-Key must have from 1 to {KEY_BYTES} characters.");
        return Err(Fault::refused(400, "header", message));
    }
    let start = Instant::now();
    let path = format!("/{}{}", plain.service, plain.call.path);
    let request = Fingerprint::new(plain.call.method, &path, plain.call.body);
    let owner = plain.context.node.me().instance.to_string();
    let claim = plain
        .context
        .claims
        .claim(plain.workspace, key, &request, &owner);
    plain.context.spans.add(plain.hop(), "claim", start, "");
    match claim {
        Ok(Claim::Acquired(held)) => send(plain, &held),
        Ok(Claim::Completed(outcome)) => Ok(replay(outcome)),
        Ok(Claim::InProgress { .. }) => Err(in_use()),
        Ok(Claim::Mismatch) => Err(mismatch()),
        Err(error) => {
            tracing::warn!(event = "claim_failed", request = plain.id, %error);
            let message = "The key can't be claimed now, so the call was not sent.";
            Err(Fault::refused(503, "store", message).after(UNDER_WAY))
        }
    }
}

fn send(plain: &Plain<'_>, held: &Handle) -> Result<Answer, Fault> {
    let result = plain.send();
    match &result {
        Ok(answer) => finish(plain, held, answer),
        Err(fault) if fault.verdict == Verdict::NotRun => release(plain, held),
        Err(_) => (),
    }
    result
}

/// keeps the answer for repeats; if that fails, repeats are told that it may have run
fn finish(plain: &Plain<'_>, held: &Handle, answer: &Answer) {
    let kept = answer
        .headers
        .iter()
        .filter(|header| KEPT.contains(&header.name.as_str()));
    let headers = kept.map(|header| schema::objects::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    let outcome = Response {
        status: answer.status,
        headers: headers.collect(),
        body: Some(answer.body.clone()),
    };
    if let Err(error) = plain.context.claims.finish(held, &outcome) {
        tracing::warn!(event = "outcome_not_kept", request = plain.id, %error);
    }
}

fn release(plain: &Plain<'_>, held: &Handle) {
    if let Err(error) = plain.context.claims.release(held) {
        tracing::warn!(event = "claim_not_released", request = plain.id, %error);
    }
}

/// the call of a key is under way, or nobody knows its outcome
pub(super) fn in_use() -> Fault {
    let message = "A call with this key is under way, or its outcome is not known.";
    Fault::unsure(409, "key_in_use", message).after(UNDER_WAY)
}

/// the key stands for another call
pub(super) fn mismatch() -> Fault {
    Fault::refused(422, "key_mismatch", "The key was used for another call.")
}

/// marks the answer to a repeat
pub(super) fn replayed(mut answer: Answer) -> Answer {
    answer.headers.push(Header::new(REPLAYED, "true"));
    answer
}

fn replay(outcome: Response) -> Answer {
    let kept = outcome.headers.into_iter();
    let headers: Vec<Header> = kept
        .map(|kept| Header::new(kept.name, kept.value))
        .collect();
    replayed(Answer {
        status: outcome.status,
        headers,
        body: outcome.body.unwrap_or_default(),
    })
}
