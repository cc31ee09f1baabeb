//! Methods for operators; their messages are in [`crate::operator`].

/// takes a `StatusQuery`, returns a `Status`
pub const STATUS: &str = "operator_status";
/// takes a `DrainQuery`, returns a `Drained`
pub const DRAIN: &str = "operator_drain";
/// takes a `TraceQuery`, returns a `Trace`
pub const TRACE: &str = "operator_trace";
