//! A caller's HTTP request and its response, complete or as server-sent events.

mod exchange;
mod headers;
mod sse;

pub use exchange::{Exchange, SizeLimits};
pub use headers::Headers;
pub use sse::Sse;
