use std::time::Duration;

use gateway::model::Call;
use gateway::seam::{Attempt, Dialect, Malformed, Reply};
use http::{HeaderMap, HeaderValue, StatusCode, request, response};

/// messages with the least that a dialect needs
#[derive(Debug, Clone, Copy)]
pub struct Plain;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Dialect for Plain {
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed> {
        let headers = &head.headers;
        let patience = text(headers, "x-patience-ms").map(str::parse);
        Ok(Call {
            id: text(headers, "x-id").ok_or(Malformed("no id"))?.to_owned(),
            key: text(headers, "x-key").map(str::to_owned),
            time_limit: match patience {
                Some(Ok(ms)) => Some(Duration::from_millis(ms)),
                Some(Err(_)) => return Err(Malformed("no number")),
                None => None,
            },
            tokens: None,
            parts: Vec::new(),
            resume_after: text(headers, "last-event-id").map(str::to_owned),
        })
    }

    fn attempt(&self, head: &request::Parts, call: &Call, attempt: &Attempt<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: &str| {
            headers.insert(
                name,
                HeaderValue::from_str(value).expect("a header's value"),
            );
        };
        set("x-id", &call.id);
        set("x-instance", attempt.instance);
        set("x-left-ms", &attempt.left.as_millis().to_string());
        if let Some(workspace) = attempt.workspace {
            set("x-workspace", workspace);
        }
        if let Some(last) = attempt.resume_after {
            set("last-event-id", last);
        }
        if let Some(host) = head.headers.get("host") {
            headers.insert("host", host.clone());
        }
        headers
    }

    fn reply(&self, call: &Call, head: &response::Parts) -> Reply {
        if head.headers.contains_key("x-not-run") {
            return Reply::NotRun;
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Reply::OtherVm;
        }
        if text(&head.headers, "x-id") != Some(&call.id) {
            return Reply::Invalid;
        }
        Reply::Answer
    }

    fn answer(&self, head: &response::Parts) -> HeaderMap {
        let mut headers = head.headers.clone();
        for name in ["connection", "content-length", "transfer-encoding"] {
            headers.remove(name);
        }
        headers
    }

    fn is_ready_check(&self, path: &str) -> bool {
        path == "/ready"
    }
}
