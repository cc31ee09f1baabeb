//! Whether a request may have run, over all its attempts.
//!
//! A request is `NotRun` only if all its attempts are: either no byte of the attempt reached
//! an upstream, or the upstream documents that it refuses before execution.

use schema::failure::Verdict;

/// how far one attempt got before it failed
#[macro_rules_attribute::apply(schema::value!)]
pub enum Progress {
    /// no byte of the request was written
    Unsent,
    /// some bytes may have been written, but there was no response
    Sent,
    /// the upstream refused in a way it documents as before execution
    Refused,
    /// the upstream answered
    Answered,
}

/// returns whether a refusal belongs to the request that waits for a response
///
/// Load pattern: a faulty upstream writes an earlier refusal once more on a connection that is kept
/// open, while it runs the next request. The refusal proves nothing unless nothing was sent on
/// its connection before, or it states the id of the request. A request that is sent to an upstream
/// again has the id of its first sending, so that it needs a new connection.
pub fn proves_not_run(is_first_on_connection: bool, states_id: bool) -> bool {
    is_first_on_connection || states_id
}

/// returns the verdict of one attempt
pub fn attempt(progress: Progress) -> Verdict {
    match progress {
        Progress::Unsent => Verdict::NotRun,
        Progress::Sent => Verdict::MayHaveRun,
        Progress::Refused => Verdict::NotRun,
        Progress::Answered => Verdict::Ran,
    }
}

/// returns the stronger of two verdicts: `Ran`, then `MayHaveRun`, then `NotRun`
pub fn join(one: Verdict, other: Verdict) -> Verdict {
    one.max(other)
}

/// returns the verdict over all attempts; `NotRun` if there were none
pub fn combine(attempts: impl IntoIterator<Item = Verdict>) -> Verdict {
    attempts.into_iter().fold(Verdict::NotRun, join)
}

/// returns whether a request may be sent again after this verdict
pub fn repeatable(verdict: Verdict, idempotent: bool) -> bool {
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => idempotent,
        Verdict::Ran => false,
    }
}
