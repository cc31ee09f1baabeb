//! Spans of a request, joined over the daemons.

use std::time::Duration;

use entry::Context;
use schema::operator::{Span, Trace, TraceQuery};

/// method that gives the spans of one daemon
pub const SPANS: &str = "trace_spans";
/// longest wait for one daemon
const TIMEOUT: Duration = Duration::from_secs(1);

/// spans of this daemon
pub fn own(context: &Context, id: &str) -> Vec<Span> {
    let daemon = &context.node.me().vm;
    let spans = context.spans.get(id).into_iter();
    let named = spans.map(|span| Span {
        name: span.name.to_owned(),
        daemon: daemon.clone(),
        start_us: span.start_us,
        duration_us: span.duration_us,
        note: span.note,
    });
    named.collect()
}

/// spans of all daemons, in order of their start
pub fn joined(context: &Context, id: &str) -> Trace {
    let mut spans = own(context, id);
    let mut missing = Vec::new();
    let me = context.node.me().instance;
    let query = TraceQuery { id: id.to_owned() };
    for member in context
        .node
        .members()
        .iter()
        .filter(|member| member.instance != me)
    {
        let answer: Result<Vec<Span>, _> =
            context.node.call_blocking(member, SPANS, &query, TIMEOUT);
        match answer {
            Ok(others) => spans.extend(others),
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
