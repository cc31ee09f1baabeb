//! Spans of a request, collected from all daemons.

use std::time::Duration;

use entry::Context;
use schema::operator::{Span, Trace, TraceQuery};

/// method that returns the spans of one daemon
pub const SPANS: &str = "trace_spans";
/// timeout of the call to one daemon
const TIMEOUT: Duration = Duration::from_secs(1);

/// spans of this daemon
pub fn local(context: &Context, id: &str) -> Vec<Span> {
    let daemon = &context.node.me().vm;
    let spans = context.spans.get(id).into_iter();
    let spans = spans.map(|span| Span {
        name: span.name.to_owned(),
        daemon: daemon.clone(),
        start_us: span.start_us,
        duration_us: span.duration_us,
        note: span.note,
    });
    spans.collect()
}

/// spans of all daemons, ordered by start; daemons that did not respond are listed as missing
pub fn of_fleet(context: &Context, id: &str) -> Trace {
    let mut spans = local(context, id);
    let mut missing = Vec::new();
    let me = context.node.me().instance;
    let query = TraceQuery { id: id.to_owned() };
    for member in context
        .node
        .members()
        .iter()
        .filter(|member| member.instance != me)
    {
        let result: Result<Vec<Span>, _> =
            context.node.call_blocking(member, SPANS, &query, TIMEOUT);
        match result {
            Ok(remote) => spans.extend(remote),
            Err(_) => missing.push(member.vm.clone()),
        }
    }
    spans.sort_by_key(|span| span.start_us);
    Trace {
        id: id.to_owned(),
        spans,
        missing,
    }
}
