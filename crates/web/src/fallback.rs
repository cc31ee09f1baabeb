use http::Response;

use crate::head::Malformed;

/// responses that the listener sends without the handler
#[derive(Debug, Clone, Copy)]
pub struct Fallback {
    /// builds the raw response to a malformed request, status line included
    pub malformed: fn(Malformed) -> Vec<u8>,
    /// builds the response to a request whose handler has not responded when the server shuts down
    pub interrupted: fn() -> Response<Vec<u8>>,
}
