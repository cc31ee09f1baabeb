//! Responses to completions, streamed or complete.

use std::io;
use std::time::Duration;

use engine::Header;
use schema::failure::Verdict;
use tokio::time::Instant;

use crate::context::Context;
use crate::fault::Fault;
use crate::http::{Exchange, Sse};
use crate::journal::{End, Journal, Progress};
use crate::openai::{Encoder, Usage};

/// time without tokens after which a stream gets a comment to keep the connection alive
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// delay after which a caller reattaches to a request that was handed over
const REATTACH_DELAY_MS: u32 = 50;

/// registers a reader of a journal until it is dropped
struct Reader<'a> {
    context: &'a Context,
    journal: &'a Journal,
}

impl<'a> Reader<'a> {
    fn new(context: &'a Context, journal: &'a Journal) -> Reader<'a> {
        journal.add_reader();
        Reader { context, journal }
    }

    fn encoder(&self) -> Encoder<'a> {
        let origin = &self.journal.origin;
        Encoder {
            id: &origin.id,
            model: &origin.service,
            chat: origin.chat,
        }
    }

    fn usage(&self) -> Usage {
        let prompt = route::prefix::tokens(&self.journal.origin.prompt);
        Usage::new(prompt, self.journal.token_count())
    }

    /// counts and logs the request
    fn record(&self, end: &End) {
        let verdict = match end {
            End::Finished(_) => "ran",
            End::HandedOver => "moved",
            End::Cancelled => "cancelled",
            End::Failed(fault) => verdict_label(fault.verdict),
        };
        let origin = &self.journal.origin;
        let labels = [origin.service.as_str(), origin.workspace.as_str(), verdict];
        self.context
            .metrics
            .requests
            .with_label_values(&labels)
            .inc();
        let took = origin.accepted.elapsed().as_millis() as u64;
        tracing::info!(
            event = "request",
            request = origin.id,
            workspace = origin.workspace,
            service = origin.service,
            outcome = verdict,
            tokens = self.journal.token_count(),
            took_ms = took,
        );
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        self.journal.remove_reader(Instant::now());
    }
}

/// label of a verdict in metrics and logs
pub(super) fn verdict_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::Ran => "ran",
    }
}

/// streams the tokens from index `from` on
pub(super) fn stream(context: &Context, exchange: Exchange, journal: &Journal, from: u32) {
    let reader = Reader::new(context, journal);
    let id = &journal.origin.id;
    match write(&reader, exchange.events(id), from as usize) {
        Ok(end) => reader.record(&end),
        Err(error) => tracing::info!(event = "caller_left", request = id, %error),
    }
}

fn write(reader: &Reader<'_>, mut sse: Sse, from: usize) -> io::Result<End> {
    let mut index = from;
    loop {
        let Progress { tokens, end } = reader.journal.wait_for_tokens(index, KEEP_ALIVE_INTERVAL);
        if tokens.is_empty() && end.is_none() {
            sse.comment("waiting");
        }
        for text in &tokens {
            let id = format!("{}:{index}", reader.journal.origin.id);
            sse.event(None, Some(&id), &reader.encoder().chunk(text));
            index += 1;
        }
        if let Some(end) = end {
            push_end(reader, &mut sse, &end);
            sse.end()?;
            return Ok(end);
        }
        sse.flush()?;
    }
}

/// adds the last events of a stream
fn push_end(reader: &Reader<'_>, sse: &mut Sse, end: &End) {
    match end {
        End::Finished(reason) => {
            sse.event(
                None,
                None,
                &reader.encoder().final_chunk(reason, reader.usage()),
            );
            sse.event(None, None, "[DONE]");
        }
        End::Failed(fault) => sse.event(Some("error"), None, &fault.json()),
        End::Cancelled => sse.event(Some("error"), None, &cancelled().json()),
        End::HandedOver => {
            let id = &reader.journal.origin.id;
            let data = format!(
                "{{\"location\":\"/v1/requests/{id}\",\"retry_after_ms\":{REATTACH_DELAY_MS}}}"
            );
            sse.event(Some("reattach"), None, &data);
        }
    }
}

/// waits for the end of the request and sends a complete response
pub(super) fn complete(context: &Context, exchange: Exchange, journal: &Journal) {
    let reader = Reader::new(context, journal);
    let end = loop {
        let count = journal.token_count() as usize;
        if let Some(end) = journal.wait_for_tokens(count, KEEP_ALIVE_INTERVAL).end {
            break end;
        }
    };
    reader.record(&end);
    let id = Header::new("x-request-id", journal.origin.id.as_str());
    match &end {
        End::Finished(reason) => {
            let text = journal.tokens().concat();
            let body = reader.encoder().complete(&text, reason, reader.usage());
            let kind = Header::new("content-type", "application/json");
            exchange.respond(200, &[kind, id], body.into_bytes());
        }
        End::Failed(fault) => exchange.fail(fault),
        End::Cancelled => exchange.fail(&cancelled()),
        End::HandedOver => {
            let path = format!("/v1/requests/{}", journal.origin.id);
            exchange.respond(303, &[Header::new("location", path), id], Vec::new());
        }
    }
}

fn cancelled() -> Fault {
    Fault::may_have_run(410, "cancelled", "The request was cancelled.")
}
