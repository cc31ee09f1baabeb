//! Answers and their bodies.

use std::io::Cursor;

use schema::objects::{Document, Status};
use serde::Serialize;
use tiny_http::{Header, Response};

pub(super) const GROUP_VERSION: &str = "agateloom.dev/v1";

/// an answer ready to be sent
#[derive(Debug, Clone)]
pub(super) struct Reply {
    pub(super) code: u16,
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// a success with a body
    pub(super) fn json<T: Serialize>(code: u16, body: &T) -> Reply {
        Reply {
            code,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// a changed object, without its spec if the caller asked for metadata alone
    pub(super) fn document(code: u16, document: &Document, brief: bool) -> Reply {
        if !brief {
            return Reply::json(code, document);
        }
        let mut document = document.clone();
        document.kind = "PartialObjectMetadata".to_owned();
        document.spec = None;
        Reply::json(code, &document)
    }

    /// a failure
    pub(super) fn failure(code: u16, reason: &str, message: &str) -> Reply {
        Reply::json(code, &status(code, reason, message))
    }

    /// the answer as the HTTP library wants it
    pub(super) fn response(self) -> Response<Cursor<Vec<u8>>> {
        let response = Response::from_data(self.body).with_status_code(self.code);
        match Header::from_bytes("Content-Type", "application/json") {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        }
    }
}

/// body of a failure
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
