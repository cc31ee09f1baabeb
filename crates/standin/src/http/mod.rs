//! HTTP server parts shared by the stand-ins: listener, requests, responses, event streams.

mod answer;
mod listener;
mod sse;
mod stop;
mod target;

pub use answer::{
    ErrorBody, ErrorDetail, ErrorResponse, answer, close, error_response, read_bytes, read_json,
};
pub use listener::Listener;
pub use sse::Sse;
pub use stop::Stop;
pub use target::Target;
