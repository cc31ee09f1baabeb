//! Operators' methods; their messages are in [`crate::operator`].

/// takes a `StatusQuery`, gives a `Status`
pub const STATUS: &str = "operator_status";
/// takes a `DrainQuery`, gives a `Drained`
pub const DRAIN: &str = "operator_drain";
/// takes a `TraceQuery`, gives a `Trace`
pub const TRACE: &str = "operator_trace";
