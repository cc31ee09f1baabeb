//! HTTP server parts shared by the stand-ins: listener, requests, responses, event streams.

mod listener;
mod response;
mod sse;
mod stop;
mod target;

pub use listener::Listener;
pub use response::{
    ErrorBody, ErrorDetail, ErrorResponse, close_connection, error_response, read_bytes, read_json,
    respond_json,
};
pub use sse::Sse;
pub use stop::Stop;
pub use target::Target;
