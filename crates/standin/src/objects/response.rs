//! Responses and their bodies.

use schema::objects::{Document, Status};
use serde::Serialize;
use web::Request;

/// API group and version of all objects
pub(super) const GROUP_VERSION: &str = "agateloom.dev/v1";

/// a response that is ready to be sent
#[derive(Debug, Clone)]
pub(super) struct Response {
    pub(super) code: u16,
    pub(super) body: Vec<u8>,
}

impl Response {
    /// a response with a JSON body
    pub(super) fn json<T: Serialize>(code: u16, body: &T) -> Response {
        Response {
            code,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// a response with an object, without its spec if `metadata_only`
    pub(super) fn document(code: u16, document: &Document, metadata_only: bool) -> Response {
        if !metadata_only {
            return Response::json(code, document);
        }
        let mut document = document.clone();
        document.kind = "PartialObjectMetadata".to_owned();
        document.spec = None;
        Response::json(code, &document)
    }

    /// an error response with a `Status` body
    pub(super) fn failure(code: u16, reason: &str, message: &str) -> Response {
        Response::json(code, &status(code, reason, message))
    }

    /// sends it to `request`
    pub(super) fn send(self, request: Request) {
        request.respond(
            self.code,
            &[("content-type", "application/json")],
            self.body,
        );
    }
}

/// body of an error response
pub(super) fn status(code: u16, reason: &str, message: &str) -> Status {
    Status {
        api_version: "v1".to_owned(),
        kind: "Status".to_owned(),
        status: if code < 400 { "Success" } else { "Failure" }.to_owned(),
        reason: reason.to_owned(),
        message: message.to_owned(),
        code,
    }
}
